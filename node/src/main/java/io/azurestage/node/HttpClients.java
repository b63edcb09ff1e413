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
    // HTTP/2 multiplexes calls on one connection; several connections spread them over selectors.
    private static final int CONNECTIONS_PER_NODE = 4;
    private static final int MAX_QUEUED_PER_DESTINATION = 8192;
    private static final int MAX_THREADS = 24;

    /** Largest head of a response; Jetty has no limit by default. */
    private static final int MAX_HEAD_BYTES = 64 << 10;

    private static final long CONNECT_TIMEOUT_MILLIS = 1_000;

    private HttpClients() {}

    /** Uses HTTP/2, since a stream reset tells the other node that the caller has disconnected. */
    static HttpClient toNodes(NodeSettings s) {
        HTTP2Client http2 = new HTTP2Client(connector("to-nodes"));
        // The default window of 64 KiB would stall large transfers between regions.
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
        c.setMaxRequestsQueuedPerDestination(MAX_QUEUED_PER_DESTINATION);
        c.setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
        c.setIdleTimeout(s.idleTimeoutMillis() + s.maxDeadlineMillis());
        c.setDestinationIdleTimeout(c.getIdleTimeout());
        c.setFollowRedirects(false);
        c.setUserAgentField(null);
        c.setMaxResponseHeadersSize(MAX_HEAD_BYTES);
        c.setHttpCookieStore(new HttpCookieStore.Empty());
        return c;
    }

    static void start(HttpClient c) {
        try {
            c.start();
            // Bodies are forwarded unchanged: a decoded body would not match its header fields.
            c.getContentDecoderFactories().clear();
        } catch (Exception e) {
            throw new IllegalStateException("HTTP client failed to start", e);
        }
    }

    static void stop(HttpClient c) {
        LifeCycle.stop(c);
    }
}
