package io.azurestage.core.admission;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

/** Estimates when a refused caller may come back. */
final class RetryAfter {
    private static final double MIN_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final double MAX_NANOS = TimeUnit.SECONDS.toNanos(5);
    private static final double MIN_SPREAD_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
    private static final double SPREAD_PER_EXCESS_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    private RetryAfter() {}

    /**
     * Returns when to come back. Refused callers are spread by rank over a time that grows with the
     * overload, so that they do not all return at once.
     *
     * @param drainNanos time that the server needs for the work that waits
     * @param fraction admitted fraction of the partner and class
     * @param rank rank of the request in [0,1)
     */
    static Duration estimate(double drainNanos, double fraction, double rank) {
        double excess = 1 / fraction - 1;
        double spread = Math.max(MIN_SPREAD_NANOS, excess * SPREAD_PER_EXCESS_NANOS);
        double nanos = MIN_NANOS + drainNanos + Math.min(spread, MAX_NANOS) * rank;
        return Duration.ofNanos((long) Math.min(nanos, MAX_NANOS * (0.5 + rank / 2)));
    }
}
