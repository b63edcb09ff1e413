package io.azurestage.core.admission;

import io.azurestage.core.rate.RateTokens;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;

/** Limits the rate at which requests are sent to a server that states a rate limit. */
final class StartRateLimit {
    /**
     * Lowest rate. A server whose limit is near zero still gets a request from time to time,
     * because the end of a limit shows only in an answer.
     */
    private static final double MIN_PER_SECOND = 1;

    private static final double SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final RateTokens mTokens = new RateTokens();
    private OptionalDouble mPerSecond = OptionalDouble.empty();

    void set(OptionalDouble perSecond, long nowNanos) {
        if (mPerSecond.isEmpty()) {
            mTokens.reset(nowNanos);
        } else {
            // Tokens up to now were earned at the old rate.
            mTokens.isAvailable(mPerSecond.getAsDouble(), nowNanos);
        }
        mPerSecond =
                perSecond.isEmpty()
                        ? perSecond
                        : OptionalDouble.of(Math.max(MIN_PER_SECOND, perSecond.getAsDouble()));
    }

    OptionalDouble perSecond() {
        return mPerSecond;
    }

    boolean isSet() {
        return mPerSecond.isPresent();
    }

    boolean mayStart(long nowNanos) {
        return mPerSecond.isEmpty() || mTokens.isAvailable(mPerSecond.getAsDouble(), nowNanos);
    }

    void started(long nowNanos) {
        if (isSet()) {
            mTokens.take(mPerSecond.getAsDouble(), nowNanos);
        }
    }

    /** Returns the mean time between two starts at the limit, 0 without a limit. */
    double intervalNanos() {
        return isSet() ? SECOND_NANOS / mPerSecond.getAsDouble() : 0;
    }
}
