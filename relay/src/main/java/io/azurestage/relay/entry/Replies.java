package io.azurestage.relay.entry;

import io.azurestage.relay.http.Field;
import io.azurestage.relay.http.Reply;
import java.time.Duration;
import java.util.Locale;

/** Answers that the node itself creates. */
final class Replies {
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final double MIN_RETRY_AFTER_SECONDS = 0.1;
    private static final double SECONDS_PER_OVERLOAD = 0.4;
    private static final double MAX_SPREAD_SECONDS = 4;
    private static final double MILLIS_PER_SECOND = 1_000;

    private Replies() {}

    /** Creates a 503 for a request that has not run and will not; it may be sent again later. */
    static Reply retryLater(String text, Duration retryAfter) {
        return retryLater(SERVICE_UNAVAILABLE, text, retryAfter);
    }

    /** Creates a refusal with a status that promises the same. */
    static Reply retryLater(int status, String text, Duration retryAfter) {
        String seconds =
                String.format(Locale.ROOT, "%.2f", retryAfter.toMillis() / MILLIS_PER_SECOND);
        return Reply.text(status, text + "\n", new Field("Retry-After", seconds));
    }

    /**
     * Returns when a refused caller may try again. The delays are spread over a range that grows
     * with the overload, so that refused callers do not return all at once.
     *
     * @param fraction admitted fraction; its inverse is the ratio of offered to admitted requests
     * @param order position of the request in the admission order, in [0,1)
     */
    static Duration retryAfter(double fraction, double order) {
        double overload = 1 / Math.max(0.01, fraction);
        double seconds =
                MIN_RETRY_AFTER_SECONDS
                        + Math.min(MAX_SPREAD_SECONDS, overload * SECONDS_PER_OVERLOAD) * order;
        return Duration.ofMillis((long) (seconds * MILLIS_PER_SECOND));
    }
}
