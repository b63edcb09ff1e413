package io.azurestage.node;

import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.server.ConnectionFactory;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;

/** A connector whose connections detect a client disconnect while a request is handled. */
final class DisconnectAwareConnector extends ServerConnector {
    DisconnectAwareConnector(Server server, ConnectionFactory... factories) {
        super(server, 1, 1, factories);
    }

    @Override
    protected SocketChannelEndPoint newEndPoint(
            SocketChannel channel, ManagedSelector selector, SelectionKey key) {
        DisconnectAwareEndPoint e =
                new DisconnectAwareEndPoint(channel, selector, key, getScheduler());
        e.setIdleTimeout(getIdleTimeout());
        return e;
    }

    /**
     * Runs the callback when the client of an HTTP/1 request disconnects. For HTTP/2 the failure
     * listener of the request reports it.
     */
    static void onDisconnect(Request request, Runnable callback) {
        boolean http1 = request.getConnectionMetaData().getHttpVersion().getVersion() < 20;
        if (http1
                && request.getConnectionMetaData().getConnection().getEndPoint()
                        instanceof DisconnectAwareEndPoint e) {
            e.watch(callback);
        }
    }
}
