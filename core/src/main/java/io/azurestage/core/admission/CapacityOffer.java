package io.azurestage.core.admission;

/**
 * Capacity that the fractions offer to callers. Arrivals vary, so offering exactly the capacity
 * leaves slots idle at times, and offering more only lengthens the queue. The offer therefore keeps
 * a short queue: it grows while the queue is shorter than half the allowed wait, and shrinks while
 * it is longer.
 */
final class CapacityOffer {
    private static final double MAX_CORRECTION = 0.25;

    private final double mHorizonNanos;
    private double mDrainSum;
    private int mCount;

    CapacityOffer(Tuning tuning) {
        mHorizonNanos = tuning.horizon().toNanos();
    }

    /** Takes note of the time in nanoseconds that the server needs for the waiting work. */
    void observe(double drainNanos) {
        mDrainSum += drainNanos;
        mCount++;
    }

    /** Ends a window and returns the slots to offer. */
    double roll(int limit, double targetNanos) {
        double drain = mCount == 0 ? 0 : mDrainSum / mCount;
        mDrainSum = 0;
        mCount = 0;
        double correction = (targetNanos / 2 - drain) / mHorizonNanos;
        return limit * (1 + Math.max(-MAX_CORRECTION, Math.min(MAX_CORRECTION, correction)));
    }
}
