package io.azurestage.core.quota;

/**
 * Token bucket whose rate may change from one request to the next. It holds little, so that nodes
 * do not save tokens. Not thread-safe.
 */
final class RateTokens {
    /** Time for which tokens are saved; one token is always kept. */
    private static final double CAPACITY_SECONDS = 0.3;

    private static final double NANOS_PER_SECOND = 1e9;

    private double mCount;
    private long mUpdatedNanos;

    void reset(long nowNanos) {
        mCount = 0;
        mUpdatedNanos = nowNanos;
    }

    boolean take(double ratePerSecond, long nowNanos) {
        double elapsedSeconds = (nowNanos - mUpdatedNanos) / NANOS_PER_SECOND;
        mUpdatedNanos = nowNanos;
        double capacity = Math.max(1, ratePerSecond * CAPACITY_SECONDS);
        mCount = Math.min(capacity, mCount + ratePerSecond * elapsedSeconds);
        if (mCount < 1) {
            return false;
        }
        mCount -= 1;
        return true;
    }
}
