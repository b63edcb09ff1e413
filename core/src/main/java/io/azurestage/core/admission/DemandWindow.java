package io.azurestage.core.admission;

/**
 * Demand of one partner and class. A change that chance explains is smoothed; a larger one is taken
 * over at once, so that fractions follow the start and the end of a surge within one window.
 */
final class DemandWindow {
    private static final double SMOOTHING = 0.3;
    private static final double SHIFT_ERRORS = 3;

    private double mWeight;
    private double mWeightSquared;
    private double mRate;
    private double mVariance;
    private boolean mStarted;

    void arrived(double weight) {
        mWeight += weight;
        mWeightSquared += weight * weight;
    }

    /** Ends a window of the given length. */
    void roll(double seconds) {
        double rate = mWeight / seconds;
        double variance = mWeightSquared / (seconds * seconds);
        mWeight = 0;
        mWeightSquared = 0;
        double error = Math.sqrt(variance + mVariance);
        if (!mStarted || Math.abs(rate - mRate) > SHIFT_ERRORS * error) {
            mStarted = true;
            mRate = rate;
            mVariance = variance;
            return;
        }
        double keep = 1 - SMOOTHING;
        mRate = keep * mRate + SMOOTHING * rate;
        mVariance = keep * keep * mVariance + SMOOTHING * SMOOTHING * variance;
    }

    /** Returns the offered requests per second. */
    double rate() {
        return mRate;
    }
}
