package io.azurestage.core.admission;

/**
 * Computes the capacity that the admitted fractions make available to callers. Because arrivals
 * vary, offering exactly the capacity leaves slots idle at times, while offering more only
 * lengthens the queue. The offered capacity is therefore controlled to keep a short queue: it grows
 * while slots are idle or the queueing delay is below half of the target, and shrinks while the
 * delay is above it.
 */
final class OfferedCapacity {
    private static final double MAX_SHRINK = 0.25;

    private final double mHorizonNanos;
    private final double mMaxGrowth;
    private double mDrainTimeSum;
    private double mUtilizationSum;
    private double mObservedNanos;

    OfferedCapacity(AdmissionParameters parameters) {
        mHorizonNanos = parameters.horizon().toNanos();
        mMaxGrowth = parameters.maxGrowth();
    }

    /**
     * Records a sample of the current state.
     *
     * @param drainTimeNanos time that the server needs to drain the queue
     * @param utilization running requests divided by the limit
     * @param elapsedNanos time since the previous sample, by which this one is weighted
     */
    void observe(double drainTimeNanos, double utilization, long elapsedNanos) {
        mDrainTimeSum += drainTimeNanos * elapsedNanos;
        mUtilizationSum += Math.min(1, utilization) * elapsedNanos;
        mObservedNanos += elapsedNanos;
    }

    /** Ends a window and returns the capacity to offer, in slots. */
    double endWindow(double limit, double targetNanos) {
        if (mObservedNanos == 0) {
            return limit;
        }
        double drainTimeNanos = mDrainTimeSum / mObservedNanos;
        double idleRatio = 1 - mUtilizationSum / mObservedNanos;
        mDrainTimeSum = 0;
        mUtilizationSum = 0;
        mObservedNanos = 0;
        double correction = (targetNanos / 2 - drainTimeNanos) / mHorizonNanos + idleRatio;
        return limit * (1 + Math.max(-MAX_SHRINK, Math.min(mMaxGrowth, correction)));
    }
}
