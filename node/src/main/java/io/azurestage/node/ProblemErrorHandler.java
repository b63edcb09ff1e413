package io.azurestage.node;

import java.nio.ByteBuffer;
import java.time.Duration;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.handler.ErrorHandler;
import org.eclipse.jetty.util.Callback;

/** Formats errors detected by the HTTP server, such as oversized headers, as refusals. */
final class ProblemErrorHandler extends ErrorHandler {

    @Override
    protected void generateResponse(
            Request request,
            Response response,
            int code,
            String message,
            Throwable cause,
            Callback callback) {
        byte[] body = body(code, message);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, Refusal.CONTENT_TYPE);
        response.getHeaders().put(HttpHeader.CONTENT_LENGTH, body.length);
        response.write(true, ByteBuffer.wrap(body), callback);
    }

    @Override
    public ByteBuffer badMessageError(int status, String reason, HttpFields.Mutable fields) {
        fields.put(HttpHeader.CONTENT_TYPE, Refusal.CONTENT_TYPE);
        return ByteBuffer.wrap(body(status, reason));
    }

    private static byte[] body(int code, String message) {
        String reason = message == null ? HttpStatus.getMessage(code) : message;
        boolean clientError = HttpStatus.isClientError(code);
        Refusal r =
                new Refusal(
                        clientError ? RefusalKind.BAD_REQUEST : RefusalKind.BROKEN_ANSWER,
                        clientError ? Ran.NOT_RUN : Ran.UNKNOWN,
                        Duration.ZERO,
                        reason);
        return r.json(code, "");
    }
}
