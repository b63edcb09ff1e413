package io.azurestage.store;

import java.io.EOFException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.client.WWWAuthenticationProtocolHandler;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.eclipse.jetty.util.thread.Scheduler;

/** HTTP client for JSON calls to several endpoints, with failover from one to the next. */
final class EtcdHttp implements AutoCloseable {
    static final int HTTP_OK = 200;

    /** Room for a prefix read of about ten values of the maximum size in base64. */
    static final int MAX_RESPONSE_BYTES = 16 << 20;

    /** Largest head of a response; Jetty has no limit by default. */
    private static final int MAX_HEAD_BYTES = 64 << 10;

    private static final int MAX_THREADS = 8;

    /** Each open watch occupies a connection, and calls need free connections besides. */
    private static final int MAX_CONNECTIONS = 256;

    /** A watch without data for this long fails, as its connection may be dead. */
    static final Duration IDLE_TIMEOUT = Duration.ofSeconds(60);

    private final List<URI> mEndpoints;
    private final Duration mTimeout;
    private final HttpClient mClient = new HttpClient();
    private final Scheduler mScheduler =
            new ScheduledExecutorScheduler("azurestage-store-timer", true);
    private final Set<Request> mPending = ConcurrentHashMap.newKeySet();
    private volatile int mPreferredEndpoint;
    private volatile boolean mClosed;

    EtcdHttp(List<URI> endpoints, Duration timeout) {
        mEndpoints = List.copyOf(endpoints);
        mTimeout = timeout;
        QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, 1);
        threads.setName("azurestage-store");
        threads.setDaemon(true);
        threads.setReservedThreads(0);
        mClient.setExecutor(threads);
        mClient.setScheduler(mScheduler);
        mClient.setConnectTimeout(timeout.toMillis());
        mClient.setIdleTimeout(IDLE_TIMEOUT.toMillis());
        mClient.setMaxResponseHeadersSize(MAX_HEAD_BYTES);
        mClient.setMaxConnectionsPerDestination(MAX_CONNECTIONS);
        mClient.setFollowRedirects(false);
        try {
            mClient.start();
            // This handler fails a 401 response without a challenge, which hides the status.
            mClient.getProtocolHandlers().remove(WWWAuthenticationProtocolHandler.NAME);
        } catch (Exception e) {
            throw new IllegalStateException("cannot start the HTTP client: " + e.getMessage(), e);
        }
    }

    Duration timeout() {
        return mTimeout;
    }

    Scheduler scheduler() {
        return mScheduler;
    }

    int endpointCount() {
        return mEndpoints.size();
    }

    int preferredEndpoint() {
        return mPreferredEndpoint;
    }

    void setPreferredEndpoint(int endpoint) {
        mPreferredEndpoint = endpoint;
    }

    /**
     * Posts a body and collects the whole response. If nothing was sent, the call is repeated at
     * the next endpoint.
     *
     * @param idempotent true if the call may be repeated after it may have been executed
     */
    CompletableFuture<HttpOutcome> call(String path, String body, boolean idempotent) {
        return attempt(path, body, idempotent, mPreferredEndpoint, 1);
    }

    private CompletableFuture<HttpOutcome> attempt(
            String path, String body, boolean idempotent, int endpoint, int attempt) {
        return post(endpoint, path, body)
                .thenCompose(
                        outcome -> {
                            boolean failOver =
                                    outcome instanceof HttpOutcome.NotSent
                                            || idempotent
                                                    && outcome instanceof HttpOutcome.Indeterminate;
                            if (!failOver || attempt == mEndpoints.size() || mClosed) {
                                return CompletableFuture.completedFuture(outcome);
                            }
                            int next = (endpoint + 1) % mEndpoints.size();
                            return attempt(path, body, idempotent, next, attempt + 1);
                        });
    }

    private CompletableFuture<HttpOutcome> post(int endpoint, String path, String body) {
        CompletableFuture<HttpOutcome> done = new CompletableFuture<>();
        AtomicBoolean started = new AtomicBoolean();
        try {
            Request request =
                    request(endpoint, path, body)
                            .timeout(mTimeout.toMillis(), TimeUnit.MILLISECONDS)
                            .onRequestBegin(r -> started.set(true));
            send(
                    request,
                    new BufferingResponseListener(MAX_RESPONSE_BYTES) {
                        @Override
                        public void onComplete(Result result) {
                            removePending(request);
                            HttpOutcome outcome = outcome(result, getContent(), started.get());
                            if (outcome instanceof HttpOutcome.Success) {
                                setPreferredEndpoint(endpoint);
                            }
                            done.complete(outcome);
                        }
                    });
        } catch (RuntimeException e) {
            done.complete(failureOutcome(e, started.get()));
        }
        return done;
    }

    Request request(int endpoint, String path, String body) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        return mClient.POST(mEndpoints.get(endpoint).resolve(path))
                .body(new BytesRequestContent("application/json", bytes));
    }

    void send(Request request, Response.CompleteListener listener) {
        mPending.add(request);
        if (mClosed) {
            removePending(request);
            throw new IllegalStateException("the store is closed");
        }
        request.send(listener);
    }

    void removePending(Request request) {
        mPending.remove(request);
    }

    private static HttpOutcome outcome(Result result, byte[] content, boolean started) {
        if (result.isFailed()) {
            return failureOutcome(result.getFailure(), started);
        }
        int status = result.getResponse().getStatus();
        return status == HTTP_OK
                ? new HttpOutcome.Success(content)
                : new HttpOutcome.Indeterminate("the store answered with status " + status);
    }

    /** The client never sends a request that failed before its first byte was sent. */
    private static HttpOutcome failureOutcome(Throwable failure, boolean started) {
        return started
                ? new HttpOutcome.Indeterminate("the answer was lost: " + describe(failure))
                : new HttpOutcome.NotSent("no connection: " + describe(failure));
    }

    static String describe(Throwable t) {
        if (t instanceof EOFException) {
            // Its message is a dump of the state of Jetty's connection.
            return "the connection was closed";
        }
        return t.getMessage() == null ? t.getClass().getSimpleName() : t.getMessage();
    }

    @Override
    public void close() {
        mClosed = true;
        mPending.forEach(r -> r.abort(new IllegalStateException("the store is closed")));
        try {
            mClient.stop();
        } catch (Exception e) {
            throw new IllegalStateException("cannot stop the HTTP client: " + describe(e), e);
        }
    }
}
