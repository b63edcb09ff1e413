package io.azurestage.core.admission;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

/** Estimates the delay after which a refused caller may retry. */
final class RetryAfter {
    private static final double MIN_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final double MAX_NANOS = TimeUnit.SECONDS.toNanos(5);
    private static final double MIN_SPREAD_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
    private static final double SPREAD_PER_EXCESS_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    private RetryAfter() {}

    /**
     * Returns the delay before a retry. Retries are spread by rank over a time that grows with the
     * overload, so that they do not arrive all at once.
     *
     * @param drainTimeNanos time that the server needs to drain the queue
     * @param fraction admitted fraction of the partner and class, over 0
     * @param rank rank of the request in [0,1)
     */
    static Duration estimate(double drainTimeNanos, double fraction, double rank) {
        double excess = 1 / fraction - 1;
        double spreadNanos = Math.max(MIN_SPREAD_NANOS, excess * SPREAD_PER_EXCESS_NANOS);
        double delayNanos = MIN_NANOS + drainTimeNanos + Math.min(spreadNanos, MAX_NANOS) * rank;
        return Duration.ofNanos((long) Math.min(delayNanos, MAX_NANOS * (0.5 + rank / 2)));
    }
}
