package io.azurestage.node;

import io.azurestage.core.memory.DescriptorLimit;
import io.azurestage.core.memory.MemoryAccount;
import io.azurestage.core.time.TimeSource;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.server.ConnectionMetaData;
import org.eclipse.jetty.server.Request;

/**
 * Bounds on what clients occupy at all listeners of a node together.
 *
 * @param memory account for heads, trailers and bodies of requests
 * @param connections bounds the number of connections
 */
record ClientBounds(MemoryAccount memory, ConnectionCap connections) {
    /** Fraction of the heap that clients may occupy. Jetty and the node's own state need more. */
    private static final double HEAP_FRACTION = 0.3;

    /** Largest number of bytes that the system keeps unread for a connection. */
    static final int RECEIVE_BUFFER_BYTES = 256 << 10;

    /** Lifts the bounds of clients from the HTTP/2 connection of a verified call of a node. */
    void lift(Request verified) {
        ConnectionMetaData meta = verified.getConnectionMetaData();
        if (meta.getHttpVersion() == HttpVersion.HTTP_2
                && meta.getConnection().getEndPoint() instanceof DisconnectAwareEndPoint e
                && !e.isOfNode()) {
            e.markOfNode();
            connections.exclude(meta.getConnection());
        }
    }

    /** Returns bounds that follow from the largest heap and the descriptors of this process. */
    static ClientBounds ofProcess(TimeSource time) {
        return new ClientBounds(
                MemoryAccount.ofHeap(HEAP_FRACTION, time),
                new ConnectionCap(DescriptorLimit.ofProcess().forClients()));
    }
}
