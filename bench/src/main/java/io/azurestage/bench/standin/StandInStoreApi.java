package io.azurestage.bench.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.azurestage.core.time.TimeSource;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Promise;

/** Answers the API's calls, with the faults that are on. */
final class StandInStoreApi extends Handler.Abstract.NonBlocking {
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int UNAVAILABLE = 503;

    private final StandInStoreOperations mData;
    private final StandInStoreFaults mFaults;
    private final StandInStoreMeter mMeter;
    private final TimeSource mTime;

    StandInStoreApi(
            StandInStoreOperations data,
            StandInStoreFaults faults,
            StandInStoreMeter meter,
            TimeSource time) {
        mData = data;
        mFaults = faults;
        mMeter = meter;
        mTime = time;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        String kind = kind(Request.getPathInContext(request));
        if (kind.isEmpty()) {
            answer(response, callback, NOT_FOUND, "{}");
            return true;
        }
        mMeter.count(kind, mTime.nanos());
        if (mFaults.strikes(StandInStoreFault.DROPPED)) {
            cut(request, callback);
            return true;
        }
        if (mFaults.strikes(StandInStoreFault.ERROR_STATUS)) {
            answer(response, callback, UNAVAILABLE, "{\"code\":14,\"message\":\"fault\"}");
            return true;
        }
        Duration delay = mFaults.strikes(StandInStoreFault.SLOW) ? mFaults.delay() : Duration.ZERO;
        Content.Source.asString(
                request,
                StandardCharsets.UTF_8,
                Promise.from(
                        body -> later(delay, request, () -> run(kind, body, response, callback)),
                        callback::failed));
        return true;
    }

    private static String kind(String path) {
        return switch (path) {
            case "/v3/kv/range" -> "range";
            case "/v3/kv/txn" -> "txn";
            case "/v3/lease/grant" -> "grant";
            case "/v3/lease/keepalive" -> "keepalive";
            case "/v3/watch" -> "watch";
            default -> "";
        };
    }

    private static void later(Duration delay, Request request, Runnable task) {
        if (delay.isZero()) {
            task.run();
            return;
        }
        request.getComponents()
                .getScheduler()
                .schedule(task, delay.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void run(String kind, String text, Response response, Callback callback) {
        try {
            JsonNode body = StandInStoreJson.MAPPER.readTree(text);
            switch (kind) {
                case "range" -> answer(response, callback, mData::range, body);
                case "txn" -> txn(body, response, callback);
                case "grant" -> answer(response, callback, mData::grant, body);
                case "keepalive" -> answer(response, callback, mData::keepAlive, body);
                default -> watch(body.path("create_request"), response, callback);
            }
        } catch (JsonProcessingException | IllegalArgumentException e) {
            ObjectNode error = StandInStoreJson.MAPPER.createObjectNode();
            error.put("code", 3).put("message", String.valueOf(e.getMessage()));
            answer(response, callback, BAD_REQUEST, error.toString());
        }
    }

    private void txn(JsonNode body, Response response, Callback callback) {
        if (mFaults.strikes(StandInStoreFault.NOT_APPLIED_ANSWER_LOST)) {
            cut(response.getRequest(), callback);
            return;
        }
        String text = mData.txn(body).toString();
        if (mFaults.strikes(StandInStoreFault.APPLIED_ANSWER_LOST)) {
            cut(response.getRequest(), callback);
        } else if (mFaults.strikes(StandInStoreFault.APPLIED_ANSWER_GARBLED)) {
            answer(response, callback, OK, text.substring(0, text.length() / 2));
        } else {
            answer(response, callback, OK, text);
        }
    }

    private void watch(JsonNode create, Response response, Callback callback) {
        if (mFaults.strikes(StandInStoreFault.WATCH_REFUSED)) {
            cut(response.getRequest(), callback);
            return;
        }
        response.getHeaders().put("Content-Type", "application/json");
        StandInStoreWatch[] self = new StandInStoreWatch[1];
        StandInStoreWatch watch =
                new StandInStoreWatch(
                        StandInStoreJson.key(create, "key"),
                        StandInStoreJson.key(create, "range_end"),
                        response,
                        callback,
                        () -> mData.forget(self[0]));
        self[0] = watch;
        mData.watch(watch, StandInStoreJson.int64(create, "start_revision"));
    }

    private static void answer(
            Response response,
            Callback callback,
            Function<JsonNode, ObjectNode> call,
            JsonNode body) {
        answer(response, callback, OK, call.apply(body).toString());
    }

    static void answer(Response response, Callback callback, int status, String text) {
        response.setStatus(status);
        response.getHeaders().put("Content-Type", "application/json");
        response.write(true, ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)), callback);
    }

    private static void cut(Request request, Callback callback) {
        request.getConnectionMetaData().getConnection().getEndPoint().close();
        callback.failed(new IOException("connection cut by a fault"));
    }
}
