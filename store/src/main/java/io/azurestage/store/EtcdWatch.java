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
        attempt(mHttp.preferred(), 1);
    }

    private void attempt(int endpoint, int count) {
        Request request = mHttp.request(endpoint, "/v3/watch", mBody);
        synchronized (mLock) {
            if (mEnded) {
                return;
            }
            mRequest = request;
        }
        JsonStream stream = new JsonStream(n -> accept(n, endpoint));
        long idleMillis = EtcdHttp.IDLE_TIMEOUT.toMillis();
        request.idleTimeout(idleMillis, TimeUnit.MILLISECONDS)
                .onResponseContent((response, content) -> read(response, stream, content));
        Scheduler.Task limit =
                mHttp.scheduler()
                        .schedule(
                                () -> abortUnlessCreated(request),
                                mHttp.timeout().toMillis(),
                                TimeUnit.MILLISECONDS);
        try {
            mHttp.send(
                    request,
                    result -> {
                        limit.cancel();
                        mHttp.forget(request);
                        onStreamEnd(result, endpoint, count);
                    });
        } catch (RuntimeException e) {
            limit.cancel();
            end("watch not sent: " + EtcdHttp.describe(e));
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

    private void onStreamEnd(Result result, int endpoint, int count) {
        boolean created;
        synchronized (mLock) {
            created = mCreated;
        }
        if (!created && count < mHttp.endpoints()) {
            attempt((endpoint + 1) % mHttp.endpoints(), count + 1);
            return;
        }
        if (result.isFailed()) {
            end("stream failed: " + EtcdHttp.describe(result.getFailure()));
        } else if (result.getResponse().getStatus() != EtcdHttp.HTTP_OK) {
            end("the store answered with status " + result.getResponse().getStatus());
        } else {
            end("the store closed the stream");
        }
    }

    private void read(Response response, JsonStream stream, ByteBuffer content) {
        if (response.getStatus() != EtcdHttp.HTTP_OK) {
            return;
        }
        try {
            stream.feed(content);
        } catch (EtcdFormatException e) {
            end("message not understood: " + e.getMessage());
        }
    }

    private void accept(JsonNode message, int endpoint) {
        JsonNode result = message.path("result");
        if (!result.isObject()) {
            end("the store reported: " + message.path("error").path("message").asText("no result"));
            return;
        }
        long compacted =
                result.has("compact_revision") ? EtcdJson.int64(result, "compact_revision") : 0;
        if (compacted > 0) {
            end("the history before revision " + compacted + " was compacted");
            return;
        }
        if (result.path("canceled").asBoolean()) {
            end("the store cancelled the watch: " + result.path("cancel_reason").asText());
            return;
        }
        synchronized (mLock) {
            mCreated = true;
        }
        mHttp.prefer(endpoint);
        for (JsonNode event : result.path("events")) {
            report(event(event));
        }
    }

    private static WatchEvent event(JsonNode event) {
        JsonNode kv = event.path("kv");
        return switch (event.path("type").asText("PUT")) {
            case "PUT" -> new WatchEvent.Put(EtcdJson.versioned(kv));
            case "DELETE" ->
                    new WatchEvent.Removed(EtcdJson.key(kv), EtcdJson.int64(kv, "mod_revision"));
            default -> throw new EtcdFormatException("unknown type of event");
        };
    }

    private void report(WatchEvent event) {
        synchronized (mLock) {
            if (mEnded) {
                return;
            }
        }
        try {
            mListener.accept(event);
        } catch (RuntimeException e) {
            LOG.atWarning().withCause(e).log("exception in a watch listener");
            end("the listener failed: " + EtcdHttp.describe(e));
        }
    }

    /** Ends the watch and its request, and reports the failure unless it had already ended. */
    private void end(String reason) {
        if (!finish(reason)) {
            return;
        }
        try {
            mListener.accept(new WatchEvent.Broken(reason));
        } catch (RuntimeException e) {
            LOG.atWarning().withCause(e).log("exception in a watch listener");
        }
    }

    private boolean finish(String reason) {
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
        finish("closed by the caller");
    }
}
