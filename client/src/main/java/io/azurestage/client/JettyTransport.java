package io.azurestage.client;

import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.ProxyAuthenticationProtocolHandler;
import org.eclipse.jetty.client.RedirectProtocolHandler;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.WWWAuthenticationProtocolHandler;
import org.eclipse.jetty.http.HttpCookieStore;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** Sends attempts with Jetty's client over HTTP/1.1. */
final class JettyTransport implements Transport, AutoCloseable {
    private static final long CONNECT_TIMEOUT_MS = 500;
    private static final int MAX_QUEUED_PER_ENTRY = 100_000;

    /** Largest head of a response; Jetty has no limit by default. */
    private static final int MAX_HEAD_BYTES = 64 << 10;

    /** Handlers of final responses. Those of informational ones must stay, or such calls hang. */
    private static final List<String> FINAL_STATUS_HANDLERS =
            List.of(
                    RedirectProtocolHandler.NAME,
                    WWWAuthenticationProtocolHandler.NAME,
                    ProxyAuthenticationProtocolHandler.NAME);

    private final HttpClient mHttp;
    private final int mMaxBuffered;

    JettyTransport(int maxBuffered, int connectionsPerEntry) {
        mMaxBuffered = maxBuffered;
        mHttp = new HttpClient();
        QueuedThreadPool threads = new QueuedThreadPool();
        threads.setName("azurestage-client");
        threads.setDaemon(true);
        mHttp.setExecutor(threads);
        mHttp.setFollowRedirects(false);
        mHttp.setHttpCookieStore(new HttpCookieStore.Empty());
        mHttp.setConnectTimeout(CONNECT_TIMEOUT_MS);
        mHttp.setMaxResponseHeadersSize(MAX_HEAD_BYTES);
        mHttp.setMaxConnectionsPerDestination(connectionsPerEntry);
        mHttp.setMaxRequestsQueuedPerDestination(MAX_QUEUED_PER_ENTRY);
        try {
            mHttp.start();
        } catch (Exception e) {
            throw new IllegalStateException("cannot start the HTTP client: " + e.getMessage(), e);
        }
        // Status codes such as 401 and 303 belong to the caller, not to Jetty's client.
        FINAL_STATUS_HANDLERS.forEach(mHttp.getProtocolHandlers()::remove);
        mHttp.getContentDecoderFactories().clear();
    }

    @Override
    public CompletableFuture<AttemptResult> send(
            URI entry, AttemptRequest attempt, Duration timeout) {
        CompletableFuture<AttemptResult> result = new CompletableFuture<>();
        Request request =
                mHttp.newRequest(target(entry, attempt.path()))
                        .method(attempt.method())
                        .timeout(Math.max(1, timeout.toMillis()), TimeUnit.MILLISECONDS);
        request.headers(headers -> attempt.headers().forEach(headers::put));
        if (attempt.body().length > 0) {
            request.body(new BytesRequestContent(attempt.body()));
        }
        request.send(new ResponseReader(attempt.method(), mMaxBuffered, attempt.sink(), result));
        return result;
    }

    /** Joins by concatenation, because resolving a path such as //x would replace the host. */
    private static URI target(URI entry, String path) {
        return URI.create(entry.getScheme() + "://" + entry.getAuthority() + path);
    }

    void after(Duration delay, Runnable task) {
        mHttp.getScheduler().schedule(task, delay.toNanos(), TimeUnit.NANOSECONDS);
    }

    @Override
    public void close() {
        try {
            mHttp.stop();
        } catch (Exception e) {
            throw new IllegalStateException("cannot stop the HTTP client: " + e.getMessage(), e);
        }
    }
}
