package io.azurestage.bench.standin;

import java.net.URI;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.http.HttpCookieStore;
import org.eclipse.jetty.io.ByteBufferPool;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.eclipse.jetty.util.thread.Scheduler;

/** Thread pool, timers, buffers and HTTP client shared by all stand-in backends of a process. */
public final class StandInRuntime implements AutoCloseable {
    private static final int MAX_THREADS = 400;
    private static final int CLIENT_SELECTORS = 2;
    private static final int MAX_QUEUED_REQUESTS = 100_000;
    private static final int MAX_RESPONSE_BYTES = 4 << 20;

    private final QueuedThreadPool mThreads = new QueuedThreadPool(MAX_THREADS);
    private final Scheduler mIoScheduler = new ScheduledExecutorScheduler("stand-in-io", true);
    // Not pooled: with pooled buffers, a response sent beside a truncated one stalled until the
    // idle timeout.
    private final ByteBufferPool mBuffers = new ByteBufferPool.NonPooling();
    private final HttpClient mHttp =
            new HttpClient(new HttpClientTransportOverHTTP(CLIENT_SELECTORS));
    private final ScheduledThreadPoolExecutor mTimer =
            new ScheduledThreadPoolExecutor(1, StandInRuntime::timerThread);

    /**
     * Starts the thread pool, the timers and the HTTP client.
     *
     * @param connections maximum number of client connections to each address
     */
    public StandInRuntime(int connections) {
        mThreads.setName("stand-in");
        mThreads.setDaemon(true);
        mHttp.setExecutor(mThreads);
        mHttp.setScheduler(mIoScheduler);
        mHttp.setByteBufferPool(mBuffers);
        mHttp.setFollowRedirects(false);
        mHttp.setHttpCookieStore(new HttpCookieStore.Empty());
        mHttp.setMaxConnectionsPerDestination(connections);
        mHttp.setMaxRequestsQueuedPerDestination(MAX_QUEUED_REQUESTS);
        try {
            mThreads.start();
            mIoScheduler.start();
            mHttp.start();
        } catch (Exception e) {
            throw new IllegalStateException(
                    "cannot start the stand-in runtime: " + e.getMessage(), e);
        }
        mHttp.getProtocolHandlers().clear();
        mHttp.getContentDecoderFactories().clear();
    }

    private static Thread timerThread(Runnable task) {
        Thread thread = new Thread(task, "stand-in-timer");
        thread.setDaemon(true);
        return thread;
    }

    Server newServer() {
        return new Server(mThreads, mIoScheduler, mBuffers);
    }

    Executor executor() {
        return mThreads;
    }

    /**
     * Runs a task on a pooled thread after a delay.
     *
     * @param nanos delay in nanoseconds
     * @param task task to run
     */
    public void after(long nanos, Runnable task) {
        mTimer.schedule(() -> mThreads.execute(task), nanos, TimeUnit.NANOSECONDS);
    }

    /**
     * Sends a request with the shared HTTP client.
     *
     * @param to base address: scheme, host and port
     * @param method HTTP method
     * @param path path of the request
     * @param headers request headers
     * @param body payload, may be empty
     * @param timeout time for the whole exchange
     * @return completes normally with the reply, also on a timeout or connection failure
     */
    public CompletableFuture<Reply> send(
            URI to,
            String method,
            String path,
            Map<String, String> headers,
            byte[] body,
            Duration timeout) {
        CompletableFuture<Reply> reply = new CompletableFuture<>();
        Request request =
                mHttp.newRequest(URI.create(to + path))
                        .method(method)
                        .timeout(timeout.toMillis(), TimeUnit.MILLISECONDS)
                        .headers(fields -> headers.forEach(fields::put));
        if (body.length > 0) {
            request.body(new BytesRequestContent(body));
        }
        request.send(
                new BufferingResponseListener(MAX_RESPONSE_BYTES) {
                    @Override
                    public void onComplete(Result result) {
                        Reply received =
                                result.isFailed()
                                        ? Reply.failed(
                                                result.getFailure().getClass().getSimpleName())
                                        : reply(result, getMediaType(), getContent());
                        // Dependent stages must not run inside Jetty's completion of this
                        // connection.
                        mThreads.execute(() -> reply.complete(received));
                    }
                });
        return reply;
    }

    private static Reply reply(Result result, String mediaType, byte[] content) {
        int status = result.getResponse().getStatus();
        return new Reply(
                status,
                mediaType == null ? "" : mediaType,
                content == null ? new byte[0] : content,
                "");
    }

    @Override
    public void close() {
        mTimer.shutdownNow();
        try {
            mHttp.stop();
            mIoScheduler.stop();
            mThreads.stop();
        } catch (Exception e) {
            throw new IllegalStateException(
                    "cannot stop the stand-in runtime: " + e.getMessage(), e);
        }
    }
}
