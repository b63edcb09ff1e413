package io.azurestage.node;

import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.server.ConnectionFactory;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;

/** A connector whose connections notice during a request that the caller goes away. */
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
     * Calls back when the caller of an HTTP/1 request goes away. Over HTTP/2 the request's own
     * failure listener tells it.
     */
    static void onGone(Request request, Runnable gone) {
        boolean http1 = request.getConnectionMetaData().getHttpVersion().getVersion() < 20;
        if (http1
                && request.getConnectionMetaData().getConnection().getEndPoint()
                        instanceof DisconnectAwareEndPoint e) {
            e.watch(gone);
        }
    }
}
