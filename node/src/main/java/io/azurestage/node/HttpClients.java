package io.azurestage.node;

import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.http.HttpCookieStore;
import org.eclipse.jetty.http2.client.HTTP2Client;
import org.eclipse.jetty.http2.client.transport.HttpClientTransportOverHTTP2;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.util.component.LifeCycle;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** The HTTP clients of a node. */
final class HttpClients {
    // HTTP/2 carries many calls on one connection; a few connections spread them over selectors.
    private static final int CONNECTIONS_PER_NODE = 4;
    private static final int QUEUED_PER_NODE = 8192;
    private static final int MAX_THREADS = 24;
    private static final long CONNECT_TIMEOUT_MILLIS = 1_000;

    private HttpClients() {}

    /** HTTP/2, because a reset stream tells the other node that the caller went away. */
    static HttpClient toNodes(NodeSettings s) {
        HTTP2Client http2 = new HTTP2Client(connector("to-nodes"));
        // The default window of 64 KiB would stall long transfers that cross a region.
        http2.setInitialStreamRecvWindow(1 << 20);
        http2.setInitialSessionRecvWindow(8 << 20);
        HttpClient c = new HttpClient(new HttpClientTransportOverHTTP2(http2));
        c.setMaxConnectionsPerDestination(CONNECTIONS_PER_NODE);
        return configure(c, s);
    }

    static HttpClient toBackend(NodeSettings s) {
        HttpClient c = new HttpClient(new HttpClientTransportOverHTTP(connector("to-backend")));
        c.setMaxConnectionsPerDestination(s.connectionLimit());
        return configure(c, s);
    }

    private static ClientConnector connector(String name) {
        ClientConnector connector = new ClientConnector();
        QueuedThreadPool pool = new QueuedThreadPool(MAX_THREADS, 2);
        pool.setName(name);
        pool.setDaemon(true);
        connector.setExecutor(pool);
        connector.setSelectors(1);
        return connector;
    }

    private static HttpClient configure(HttpClient c, NodeSettings s) {
        c.setMaxRequestsQueuedPerDestination(QUEUED_PER_NODE);
        c.setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
        c.setIdleTimeout(s.idleTimeoutMillis() + s.maxDeadlineMillis());
        c.setFollowRedirects(false);
        c.setUserAgentField(null);
        c.setHttpCookieStore(new HttpCookieStore.Empty());
        return c;
    }

    static void start(HttpClient c) {
        try {
            c.start();
            // Bodies pass through as they are: a decoded body no longer fits its header fields.
            c.getContentDecoderFactories().clear();
        } catch (Exception e) {
            throw new IllegalStateException("the HTTP client does not start", e);
        }
    }

    static void stop(HttpClient c) {
        LifeCycle.stop(c);
    }
}
