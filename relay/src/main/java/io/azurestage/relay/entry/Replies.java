package io.azurestage.relay.entry;

import io.azurestage.relay.http.Field;
import io.azurestage.relay.http.Reply;
import java.time.Duration;
import java.util.Locale;

/** Answers that a node makes itself. */
final class Replies {
    private static final double MIN_SECONDS = 0.1;
    private static final double SECONDS_PER_EXCESS = 0.4;
    private static final double MAX_SECONDS = 4;
    private static final double MILLIS = 1_000;

    private Replies() {}

    /** The request has not run and will not; the caller may send it again later. */
    static Reply comeBack(String text, Duration after) {
        String seconds = String.format(Locale.ROOT, "%.2f", after.toMillis() / MILLIS);
        return Reply.text(503, text + "\n", new Field("Retry-After", seconds));
    }

    /** Spreads the return of refused callers by how many more there are than room. */
    static Duration spread(double fraction, double order) {
        double excess = 1 / Math.max(0.01, fraction);
        double seconds = MIN_SECONDS + Math.min(MAX_SECONDS, excess * SECONDS_PER_EXCESS) * order;
        return Duration.ofMillis((long) (seconds * MILLIS));
    }
}
