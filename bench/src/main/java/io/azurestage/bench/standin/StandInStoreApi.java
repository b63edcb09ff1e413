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

/** Handles the HTTP calls of the API and injects the enabled faults. */
final class StandInStoreApi extends Handler.Abstract.NonBlocking {
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int UNAVAILABLE = 503;

    private final StandInStoreOperations mOperations;
    private final StandInStoreFaults mFaults;
    private final StandInStoreMeter mMeter;
    private final TimeSource mTime;

    StandInStoreApi(
            StandInStoreOperations operations,
            StandInStoreFaults faults,
            StandInStoreMeter meter,
            TimeSource time) {
        mOperations = operations;
        mFaults = faults;
        mMeter = meter;
        mTime = time;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        String kind = kind(Request.getPathInContext(request));
        if (kind.isEmpty()) {
            respond(response, callback, NOT_FOUND, "{}");
            return true;
        }
        mMeter.count(kind, mTime.nanos());
        if (mFaults.tryApply(StandInStoreFault.DROPPED)) {
            closeConnection(request, callback);
            return true;
        }
        if (mFaults.tryApply(StandInStoreFault.ERROR_STATUS)) {
            respond(response, callback, UNAVAILABLE, "{\"code\":14,\"message\":\"fault\"}");
            return true;
        }
        Duration delay = mFaults.tryApply(StandInStoreFault.SLOW) ? mFaults.delay() : Duration.ZERO;
        Content.Source.asString(
                request,
                StandardCharsets.UTF_8,
                Promise.from(
                        body -> runAfter(delay, request, () -> run(kind, body, response, callback)),
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

    private static void runAfter(Duration delay, Request request, Runnable task) {
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
                case "range" -> respond(response, callback, mOperations::range, body);
                case "txn" -> txn(body, response, callback);
                case "grant" -> respond(response, callback, mOperations::grant, body);
                case "keepalive" -> respond(response, callback, mOperations::keepAlive, body);
                default -> watch(body.path("create_request"), response, callback);
            }
        } catch (JsonProcessingException | IllegalArgumentException e) {
            ObjectNode error = StandInStoreJson.MAPPER.createObjectNode();
            error.put("code", 3).put("message", String.valueOf(e.getMessage()));
            respond(response, callback, BAD_REQUEST, error.toString());
        }
    }

    private void txn(JsonNode body, Response response, Callback callback) {
        if (mFaults.tryApply(StandInStoreFault.NOT_APPLIED_ANSWER_LOST)) {
            closeConnection(response.getRequest(), callback);
            return;
        }
        String text = mOperations.txn(body).toString();
        if (mFaults.tryApply(StandInStoreFault.APPLIED_ANSWER_LOST)) {
            closeConnection(response.getRequest(), callback);
        } else if (mFaults.tryApply(StandInStoreFault.APPLIED_ANSWER_GARBLED)) {
            respond(response, callback, OK, text.substring(0, text.length() / 2));
        } else {
            respond(response, callback, OK, text);
        }
    }

    private void watch(JsonNode create, Response response, Callback callback) {
        if (mFaults.tryApply(StandInStoreFault.WATCH_REFUSED)) {
            closeConnection(response.getRequest(), callback);
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
                        () -> mOperations.removeWatch(self[0]));
        self[0] = watch;
        mOperations.watch(watch, StandInStoreJson.int64(create, "start_revision"));
    }

    private static void respond(
            Response response,
            Callback callback,
            Function<JsonNode, ObjectNode> call,
            JsonNode body) {
        respond(response, callback, OK, call.apply(body).toString());
    }

    static void respond(Response response, Callback callback, int status, String text) {
        response.setStatus(status);
        response.getHeaders().put("Content-Type", "application/json");
        response.write(true, ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)), callback);
    }

    private static void closeConnection(Request request, Callback callback) {
        request.getConnectionMetaData().getConnection().getEndPoint().close();
        callback.failed(new IOException("connection closed by an injected fault"));
    }
}
