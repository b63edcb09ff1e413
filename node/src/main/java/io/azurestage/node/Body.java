package io.azurestage.node;

import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;

/** Reads request bodies. */
final class Body {
    private Body() {}

    /** Reports whether the request announces a body over the limit. */
    static boolean isTooLong(Request request, int limit) {
        return request.getHeaders().getLongField(HttpHeader.CONTENT_LENGTH) > limit;
    }

    /** Reads the whole body; fails if it is longer than the limit or the caller hangs up. */
    static CompletableFuture<byte[]> read(Request request, int limit) {
        return Content.Source.asByteArrayAsync(request, limit);
    }
}
