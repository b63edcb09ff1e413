package io.azurestage.core.admission;

/** Slots that one partner holds in one class, now and on average over the recent past. */
final class Usage {
    private static final double TIME_CONSTANT_NANOS = 300e6;

    private int mInFlight;
    private double mAverage;
    private long mUpdated;

    Usage(long nowNanos) {
        mUpdated = nowNanos;
    }

    void start(long nowNanos) {
        update(nowNanos);
        mInFlight++;
    }

    void end(long nowNanos) {
        update(nowNanos);
        mInFlight--;
    }

    int inFlight() {
        return mInFlight;
    }

    double average(long nowNanos) {
        update(nowNanos);
        return mAverage;
    }

    /**
     * Returns what counts for fairness. The average divides even a single slot fairly over time;
     * the current number keeps one partner from taking all slots that become free at one moment.
     */
    double claim(long nowNanos) {
        return average(nowNanos) + mInFlight;
    }

    private void update(long nowNanos) {
        long elapsed = nowNanos - mUpdated;
        if (elapsed <= 0) {
            return;
        }
        double keep = Math.exp(-elapsed / TIME_CONSTANT_NANOS);
        mAverage = mAverage * keep + mInFlight * (1 - keep);
        mUpdated = nowNanos;
    }
}
