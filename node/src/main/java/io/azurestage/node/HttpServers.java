package io.azurestage.node;

import java.io.IOException;
import org.eclipse.jetty.http.UriCompliance;
import org.eclipse.jetty.http2.server.HTTP2CServerConnectionFactory;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.component.LifeCycle;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** The HTTP servers of a node: ingress and egress. */
final class HttpServers {
    private static final int MAX_THREADS = 48;
    private static final int MAX_STREAMS_PER_CONNECTION = 4096;
    // A request whose body arrives more slowly than this is aborted.
    private static final long MIN_BYTES_PER_SECOND = 64;

    private final Server mServer;
    private final ServerConnector mIngress;
    private final ServerConnector mEgress;

    HttpServers(NodeSettings s, ClientBounds bounds, Handler ingress, Handler egress) {
        QueuedThreadPool pool = new QueuedThreadPool(MAX_THREADS, 4);
        pool.setName("http");
        mServer = new Server(pool);
        mIngress = connector(mServer, s, s.ingress(), true, bounds);
        mEgress = connector(mServer, s, s.egress(), false, bounds);
        mServer.setErrorHandler(new ProblemErrorHandler());
        mServer.setHandler(new ConnectorDispatcher(mEgress, ingress, egress));
    }

    private static ServerConnector connector(
            Server server, NodeSettings s, HostPort address, boolean http2, ClientBounds bounds) {
        HttpConfiguration httpConfig = new HttpConfiguration();
        httpConfig.setSendServerVersion(false);
        httpConfig.setSendDateHeader(false);
        httpConfig.setRequestHeaderSize(s.maxHeaderBytes());
        httpConfig.setResponseHeaderSize(s.maxHeaderBytes());
        httpConfig.setMinRequestDataRate(MIN_BYTES_PER_SECOND);
        httpConfig.setUriCompliance(UriCompliance.RFC3986);
        HttpConnectionFactory http1 = new BoundedHttpConnectionFactory(httpConfig, bounds.memory());
        HTTP2CServerConnectionFactory h2c = new HTTP2CServerConnectionFactory(httpConfig);
        h2c.setRateControlFactory(new NodeRateControl());
        h2c.setMaxConcurrentStreams(MAX_STREAMS_PER_CONNECTION);
        ServerConnector c =
                http2
                        ? new DisconnectAwareConnector(server, http1, h2c)
                        : new DisconnectAwareConnector(server, http1);
        c.setHost(address.host());
        c.setPort(address.port());
        c.setIdleTimeout(s.idleTimeoutMillis());
        c.setAcceptQueueSize(1024);
        c.setAcceptedReceiveBufferSize(ClientBounds.RECEIVE_BUFFER_BYTES);
        c.addEventListener(bounds.connections());
        server.addConnector(c);
        return c;
    }

    void start() throws NodeStartException {
        open(mIngress, "ingress");
        open(mEgress, "egress");
        try {
            mServer.start();
        } catch (Exception e) {
            throw new NodeStartException("HTTP server failed to start: " + e.getMessage(), e);
        }
    }

    private static void open(ServerConnector c, String setting) throws NodeStartException {
        try {
            c.open();
        } catch (IOException e) {
            throw listenFailure(c, setting, e);
        }
    }

    static NodeStartException listenFailure(ServerConnector c, String setting, IOException e) {
        return new NodeStartException(
                "cannot listen on "
                        + setting
                        + " address "
                        + c.getHost()
                        + ":"
                        + c.getPort()
                        + "; free the port or change "
                        + setting
                        + " in the settings",
                e);
    }

    void stop() {
        LifeCycle.stop(mServer);
    }

    HostPort ingress() {
        return new HostPort(mIngress.getHost(), mIngress.getLocalPort());
    }

    HostPort egress() {
        return new HostPort(mEgress.getHost(), mEgress.getLocalPort());
    }
}
