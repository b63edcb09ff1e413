package io.azurestage.node;

import java.io.IOException;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.component.LifeCycle;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** The HTTP server for operators. It has its own threads, so it responds under overload. */
final class AdminServer {
    private static final int MAX_THREADS = 6;
    private static final long IDLE_TIMEOUT_MILLIS = 30_000;

    private final Server mServer;
    private final ServerConnector mConnector;

    AdminServer(HostPort address, ClientBounds bounds) {
        QueuedThreadPool pool = new QueuedThreadPool(MAX_THREADS, 2);
        pool.setName("admin");
        mServer = new Server(pool);
        HttpConfiguration httpConfig = new HttpConfiguration();
        httpConfig.setSendServerVersion(false);
        mConnector =
                new ServerConnector(
                        mServer,
                        1,
                        1,
                        new BoundedHttpConnectionFactory(httpConfig, bounds.memory()));
        mConnector.setAcceptedReceiveBufferSize(ClientBounds.RECEIVE_BUFFER_BYTES);
        mConnector.addEventListener(bounds.connections());
        mConnector.setHost(address.host());
        mConnector.setPort(address.port());
        mConnector.setIdleTimeout(IDLE_TIMEOUT_MILLIS);
        mServer.addConnector(mConnector);
    }

    /** Opens the port. Connections wait until {@link #start} sets the handler. */
    HostPort open() throws NodeStartException {
        try {
            mConnector.open();
        } catch (IOException e) {
            throw HttpServers.listenFailure(mConnector, "admin", e);
        }
        return new HostPort(mConnector.getHost(), mConnector.getLocalPort());
    }

    void start(Handler handler) throws NodeStartException {
        mServer.setErrorHandler(new ProblemErrorHandler());
        mServer.setHandler(handler);
        try {
            mServer.start();
        } catch (Exception e) {
            throw new NodeStartException("admin server failed to start: " + e.getMessage(), e);
        }
    }

    void stop() {
        LifeCycle.stop(mServer);
    }
}
