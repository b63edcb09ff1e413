package io.azurestage.core.admission;

/** Slots that one partner uses in one class: the current number and a recent moving average. */
final class SlotUsage {
    private static final double TIME_CONSTANT_NANOS = 300e6;

    private int mInFlight;
    private double mAverage;
    private long mUpdatedNanos;

    SlotUsage(long nowNanos) {
        mUpdatedNanos = nowNanos;
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
     * Returns the usage on which fairness between partners is based. The average shares even a
     * single slot fairly over time; the current number prevents one partner from taking all slots
     * that become free at the same moment.
     */
    double fairnessUsage(long nowNanos) {
        return average(nowNanos) + mInFlight;
    }

    private void update(long nowNanos) {
        long elapsed = nowNanos - mUpdatedNanos;
        if (elapsed <= 0) {
            return;
        }
        double keep = Math.exp(-elapsed / TIME_CONSTANT_NANOS);
        mAverage = mAverage * keep + mInFlight * (1 - keep);
        mUpdatedNanos = nowNanos;
    }
}
