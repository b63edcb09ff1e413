package io.azurestage.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.flogger.FluentLogger;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.util.thread.Scheduler;

/** A watch over a streamed HTTP response. */
final class EtcdWatch implements AutoCloseable {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private final EtcdHttp mHttp;
    private final String mBody;
    private final Consumer<WatchEvent> mListener;
    private final Object mLock = new Object();
    private Request mRequest;
    private boolean mCreated;
    private boolean mEnded;

    EtcdWatch(EtcdHttp http, String body, Consumer<WatchEvent> listener) {
        mHttp = http;
        mBody = body;
        mListener = listener;
    }

    void start() {
        attempt(mHttp.preferredEndpoint(), 1);
    }

    private void attempt(int endpoint, int attempt) {
        Request request = mHttp.request(endpoint, "/v3/watch", mBody);
        synchronized (mLock) {
            if (mEnded) {
                return;
            }
            mRequest = request;
        }
        JsonStream stream = new JsonStream(n -> onMessage(n, endpoint));
        long idleMillis = EtcdHttp.IDLE_TIMEOUT.toMillis();
        request.idleTimeout(idleMillis, TimeUnit.MILLISECONDS)
                .onResponseContent((response, content) -> onContent(response, stream, content));
        Scheduler.Task createTimeout =
                mHttp.scheduler()
                        .schedule(
                                () -> abortUnlessCreated(request),
                                mHttp.timeout().toMillis(),
                                TimeUnit.MILLISECONDS);
        try {
            mHttp.send(
                    request,
                    result -> {
                        createTimeout.cancel();
                        mHttp.removePending(request);
                        onStreamEnd(result, endpoint, attempt);
                    });
        } catch (RuntimeException e) {
            createTimeout.cancel();
            fail("watch not sent: " + EtcdHttp.describe(e));
        }
    }

    private void abortUnlessCreated(Request request) {
        synchronized (mLock) {
            if (mCreated) {
                return;
            }
        }
        request.abort(new IllegalStateException("no answer within " + mHttp.timeout()));
    }

    private void onStreamEnd(Result result, int endpoint, int attempt) {
        boolean created;
        synchronized (mLock) {
            created = mCreated;
        }
        if (!created && attempt < mHttp.endpointCount()) {
            attempt((endpoint + 1) % mHttp.endpointCount(), attempt + 1);
            return;
        }
        if (result.isFailed()) {
            fail("stream failed: " + EtcdHttp.describe(result.getFailure()));
        } else if (result.getResponse().getStatus() != EtcdHttp.HTTP_OK) {
            fail("the store answered with status " + result.getResponse().getStatus());
        } else {
            fail("the store closed the stream");
        }
    }

    private void onContent(Response response, JsonStream stream, ByteBuffer content) {
        if (response.getStatus() != EtcdHttp.HTTP_OK) {
            return;
        }
        try {
            stream.feed(content);
        } catch (EtcdFormatException e) {
            fail("message not understood: " + e.getMessage());
        }
    }

    private void onMessage(JsonNode message, int endpoint) {
        JsonNode result = message.path("result");
        if (!result.isObject()) {
            fail(
                    "the store reported: "
                            + message.path("error").path("message").asText("no result"));
            return;
        }
        long compacted =
                result.has("compact_revision") ? EtcdJson.int64(result, "compact_revision") : 0;
        if (compacted > 0) {
            fail("the history before revision " + compacted + " was compacted");
            return;
        }
        if (result.path("canceled").asBoolean()) {
            fail("the store cancelled the watch: " + result.path("cancel_reason").asText());
            return;
        }
        synchronized (mLock) {
            mCreated = true;
        }
        mHttp.setPreferredEndpoint(endpoint);
        for (JsonNode event : result.path("events")) {
            deliver(decodeEvent(event));
        }
    }

    private static WatchEvent decodeEvent(JsonNode event) {
        JsonNode kv = event.path("kv");
        return switch (event.path("type").asText("PUT")) {
            case "PUT" -> new WatchEvent.Put(EtcdJson.versioned(kv));
            case "DELETE" ->
                    new WatchEvent.Removed(EtcdJson.key(kv), EtcdJson.int64(kv, "mod_revision"));
            default -> throw new EtcdFormatException("unknown type of event");
        };
    }

    private void deliver(WatchEvent event) {
        synchronized (mLock) {
            if (mEnded) {
                return;
            }
        }
        try {
            mListener.accept(event);
        } catch (RuntimeException e) {
            LOG.atWarning().withCause(e).log("exception in a watch listener");
            fail("the listener failed: " + EtcdHttp.describe(e));
        }
    }

    /** Ends the watch and its request, and reports the failure unless it had already ended. */
    private void fail(String reason) {
        if (!stop(reason)) {
            return;
        }
        try {
            mListener.accept(new WatchEvent.Broken(reason));
        } catch (RuntimeException e) {
            LOG.atWarning().withCause(e).log("exception in a watch listener");
        }
    }

    private boolean stop(String reason) {
        Request request;
        synchronized (mLock) {
            if (mEnded) {
                return false;
            }
            mEnded = true;
            request = mRequest;
        }
        if (request != null) {
            request.abort(new IllegalStateException(reason));
        }
        return true;
    }

    /** Closes the watch. Events that arrive later are not reported. */
    @Override
    public void close() {
        stop("closed by the caller");
    }
}
