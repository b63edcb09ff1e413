package io.azurestage.bench.standin;

import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;

/** Reads request bodies and starts an {@link Exchange} for each; serves the health endpoint. */
final class BackendHandler extends Handler.Abstract.NonBlocking {
    private static final int MAX_PAYLOAD_BYTES = 1 << 20;

    private final StandInBackend mBackend;

    BackendHandler(StandInBackend backend) {
        mBackend = backend;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        if (Request.getPathInContext(request).equals("/health")) {
            health(response, callback);
            return true;
        }
        Content.Source.asByteArrayAsync(request, MAX_PAYLOAD_BYTES)
                .whenComplete(
                        (payload, failure) -> {
                            if (failure != null) {
                                callback.failed(failure);
                                return;
                            }
                            new Exchange(mBackend, request, response, callback, payload).run();
                        });
        return true;
    }

    private void health(Response response, Callback callback) {
        boolean inverted = mBackend.faults().invertHealth();
        boolean up = mBackend.faults().refuseRequests() == inverted;
        int busy = mBackend.slots().busy();
        int reportedBusy = inverted ? mBackend.spec().slots() - busy : busy;
        String json =
                "{\"status\":\""
                        + (up ? "up" : "down")
                        + "\",\"busy\":"
                        + reportedBusy
                        + ",\"slots\":"
                        + mBackend.spec().slots()
                        + "}";
        respond(response, callback, up ? 200 : 503, "application/json", utf8(json));
    }

    static void refuse(Response response, Callback callback, String reason) {
        response.getHeaders().put(HttpHeader.RETRY_AFTER, 1);
        respond(response, callback, 503, "text/plain", utf8(reason));
    }

    static void respond(
            Response response, Callback callback, int status, String type, byte[] body) {
        response.setStatus(status);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, type);
        response.getHeaders().put(HttpHeader.CONTENT_LENGTH, body.length);
        response.write(true, BufferUtil.toBuffer(body), callback);
    }

    static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
