package io.azurestage.node;

import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;

/** Reads request bodies. */
final class RequestBody {
    private RequestBody() {}

    /** Reports whether the Content-Length of the request exceeds the limit in bytes. */
    static boolean isTooLong(Request request, int limit) {
        return request.getHeaders().getLongField(HttpHeader.CONTENT_LENGTH) > limit;
    }

    /**
     * Reads the whole body. The future fails if the body is longer than the limit in bytes or the
     * caller disconnects.
     */
    static CompletableFuture<byte[]> read(Request request, int limit) {
        return Content.Source.asByteArrayAsync(request, limit);
    }
}
