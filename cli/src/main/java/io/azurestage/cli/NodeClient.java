package io.azurestage.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.io.EOFException;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.client.WWWAuthenticationProtocolHandler;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;

/** HTTP client for the admin endpoints of nodes. */
final class NodeClient implements AutoCloseable {
    /** Fits a status with over ten thousand members, or the full event buffer of a node. */
    private static final int MAX_RESPONSE_BYTES = 32 << 20;

    /** Largest head of a response; Jetty has no limit by default. */
    private static final int MAX_HEAD_BYTES = 64 << 10;

    private static final int THREADS = 8;

    private final HttpClient mClient = new HttpClient();
    private final Duration mTimeout;

    NodeClient(Duration timeout) {
        mTimeout = timeout;
        QueuedThreadPool threads = new QueuedThreadPool(THREADS, 1);
        threads.setDaemon(true);
        threads.setReservedThreads(0);
        mClient.setExecutor(threads);
        mClient.setScheduler(new ScheduledExecutorScheduler("azurestage-cli-timer", true));
        mClient.setConnectTimeout(timeout.toMillis());
        mClient.setMaxResponseHeadersSize(MAX_HEAD_BYTES);
        mClient.setFollowRedirects(false);
        try {
            mClient.start();
            // This handler turns a 401 without a challenge into a failure, which hides the status.
            mClient.getProtocolHandlers().remove(WWWAuthenticationProtocolHandler.NAME);
        } catch (Exception e) {
            throw new IllegalStateException("failed to start HTTP client: " + e.getMessage(), e);
        }
    }

    CompletableFuture<NodeResponse> get(String address, String path) {
        return send(mClient.newRequest("http://" + address + path));
    }

    CompletableFuture<NodeResponse> post(String address, String path, String body, String token) {
        return send(
                mClient.POST("http://" + address + path)
                        .headers(h -> h.put("Authorization", "Bearer " + token))
                        .body(new StringRequestContent("application/json", body)));
    }

    private CompletableFuture<NodeResponse> send(Request request) {
        CompletableFuture<NodeResponse> response = new CompletableFuture<>();
        request.timeout(mTimeout.toMillis(), TimeUnit.MILLISECONDS)
                .send(
                        new BufferingResponseListener(MAX_RESPONSE_BYTES) {
                            @Override
                            public void onComplete(Result result) {
                                response.complete(toResponse(result, getContent()));
                            }
                        });
        return response;
    }

    private static NodeResponse toResponse(Result result, byte[] content) {
        if (result.isFailed()) {
            String reason = describe(result.getFailure());
            return new NodeResponse(0, MissingNode.getInstance(), "did not respond: " + reason);
        }
        int status = result.getResponse().getStatus();
        if (content == null || content.length == 0) {
            return new NodeResponse(status, MissingNode.getInstance(), "");
        }
        try {
            JsonNode body = Json.MAPPER.readTree(content);
            return new NodeResponse(status, body, "");
        } catch (IOException e) {
            return new NodeResponse(
                    0, MissingNode.getInstance(), "sent a response that is not JSON");
        }
    }

    private static String describe(Throwable t) {
        if (t instanceof EOFException) {
            // The message of Jetty's exception is a dump of the connection state.
            return "the connection was closed";
        }
        return Optional.ofNullable(t.getMessage()).orElse(t.getClass().getSimpleName());
    }

    @Override
    public void close() {
        try {
            mClient.stop();
        } catch (Exception e) {
            throw new IllegalStateException("failed to stop HTTP client: " + e.getMessage(), e);
        }
    }
}
