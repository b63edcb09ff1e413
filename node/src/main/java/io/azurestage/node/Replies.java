package io.azurestage.node;

import io.azurestage.core.context.RequestId;
import java.time.Duration;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.io.EofException;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Refusals that a node sends without involving a backend server. */
final class Replies {
    private static final Duration MEMORY_RETRY_AFTER = Duration.ofSeconds(1);
    private static final Duration CONNECTIONS_RETRY_AFTER = Duration.ofSeconds(1);
    private static final Duration NOT_READY_RETRY_AFTER = Duration.ofSeconds(1);

    private Replies() {}

    static void refuse(
            NodeContext node, RequestId id, Response response, Callback callback, Refusal r) {
        node.metrics().refusals().labelValues(r.kind().text(), "", "").inc();
        new ResponseSink(response, callback, id.toString(), o -> HttpFields.EMPTY).refuse(r);
    }

    static Refusal notReady() {
        return Refusal.notRun(
                RefusalKind.NOT_READY, NOT_READY_RETRY_AFTER, "the node has no configuration yet");
    }

    /** Returns the refusal of a request whose connection is one too many in use. */
    static Refusal tooManyConnections() {
        return Refusal.notRun(
                RefusalKind.OVERLOADED,
                CONNECTIONS_RETRY_AFTER,
                "too many connections have requests in progress");
    }

    /** Maps a failure to read the request body to a refusal. */
    static Refusal unreadableBody(Throwable cause, int limit) {
        Throwable root = cause.getCause() == null ? cause : cause.getCause();
        if (root instanceof TooManyHeldBytesException) {
            return Refusal.notRun(
                    RefusalKind.OVERLOADED, MEMORY_RETRY_AFTER, String.valueOf(root.getMessage()));
        }
        if (root instanceof EofException) {
            return Refusal.notRun(RefusalKind.BAD_REQUEST, "the body ended early");
        }
        return Refusal.notRun(
                RefusalKind.BODY_TOO_LARGE, "the body is longer than " + limit + " bytes");
    }
}
