package io.azurestage.core.rate;

/**
 * Token bucket whose rate may change from one request to the next. It holds little, so that tokens
 * are not saved. Not thread-safe.
 */
public final class RateTokens {
    /** Time for which tokens are saved; one token is always kept. */
    private static final double CAPACITY_SECONDS = 0.3;

    private static final double NANOS_PER_SECOND = 1e9;

    private double mCount;
    private long mUpdatedNanos;

    /** Creates an empty bucket whose time starts at zero. */
    public RateTokens() {}

    /**
     * Empties the bucket.
     *
     * @param nowNanos monotonic time
     */
    public void reset(long nowNanos) {
        mCount = 0;
        mUpdatedNanos = nowNanos;
    }

    /**
     * Reports whether {@link #take} would succeed.
     *
     * @param ratePerSecond tokens that are added per second
     * @param nowNanos monotonic time
     * @return whether the bucket holds a token
     */
    public boolean isAvailable(double ratePerSecond, long nowNanos) {
        double elapsedSeconds = (nowNanos - mUpdatedNanos) / NANOS_PER_SECOND;
        mUpdatedNanos = nowNanos;
        double capacity = Math.max(1, ratePerSecond * CAPACITY_SECONDS);
        mCount = Math.min(capacity, mCount + ratePerSecond * elapsedSeconds);
        return mCount >= 1;
    }

    /**
     * Takes a token.
     *
     * @param ratePerSecond tokens that are added per second
     * @param nowNanos monotonic time
     * @return whether the bucket held a token
     */
    public boolean take(double ratePerSecond, long nowNanos) {
        boolean available = isAvailable(ratePerSecond, nowNanos);
        if (available) {
            mCount -= 1;
        }
        return available;
    }
}
