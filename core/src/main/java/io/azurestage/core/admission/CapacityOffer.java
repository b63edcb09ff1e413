package io.azurestage.core.admission;

/**
 * Capacity that the fractions offer to callers. Arrivals vary, so offering exactly the capacity
 * leaves slots idle at times, and offering more only lengthens the queue. The offer therefore keeps
 * a short queue: it grows while slots are idle or the queue is shorter than half the allowed wait,
 * and shrinks while it is longer.
 */
final class CapacityOffer {
    private static final double MAX_SHRINK = 0.25;

    private final double mHorizonNanos;
    private final double mMaxGrowth;
    private double mDrainSum;
    private double mBusySum;
    private double mNanos;

    CapacityOffer(Tuning tuning) {
        mHorizonNanos = tuning.horizon().toNanos();
        mMaxGrowth = tuning.maxGrowth();
    }

    /**
     * Takes note of the present state.
     *
     * @param drainNanos time that the server needs for the waiting work
     * @param busy requests in progress over the limit
     * @param nanos time since the last note, for which this one stands
     */
    void observe(double drainNanos, double busy, long nanos) {
        mDrainSum += drainNanos * nanos;
        mBusySum += Math.min(1, busy) * nanos;
        mNanos += nanos;
    }

    /** Ends a window and returns the slots to offer. */
    double roll(int limit, double targetNanos) {
        if (mNanos == 0) {
            return limit;
        }
        double drain = mDrainSum / mNanos;
        double idle = 1 - mBusySum / mNanos;
        mDrainSum = 0;
        mBusySum = 0;
        mNanos = 0;
        double correction = (targetNanos / 2 - drain) / mHorizonNanos + idle;
        return limit * (1 + Math.max(-MAX_SHRINK, Math.min(mMaxGrowth, correction)));
    }
}
