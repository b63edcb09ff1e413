package io.azurestage.core.admission;

/**
 * Estimates the arrival rate of one partner and class. Changes within the random variation are
 * smoothed. A larger change, seen over the last window or the last few, is adopted at once, so that
 * the fractions track the start and the end of a surge but not the noise of few arrivals.
 */
final class ArrivalRateEstimator {
    /** Number of windows over which a change is looked for. */
    private static final int HISTORY_WINDOWS = 8;

    /** Standard errors from which a change is not taken for random variation. */
    private static final double SHIFT_ERRORS = 3;

    private static final double SMOOTHED_ARRIVALS = 100;
    private static final double MIN_SMOOTHING = 0.03;
    private static final double MAX_SMOOTHING = 0.3;

    private final double[] mWeights = new double[HISTORY_WINDOWS];
    private final double[] mSquaredWeights = new double[HISTORY_WINDOWS];
    private double mWeight;
    private double mSquaredWeight;
    private double mRate;
    private double mVariance;

    /** Mean weight of the arrivals, weighted by the weights themselves. */
    private double mMeanWeight = 1;

    private int mWindows;

    void arrived(double weight) {
        mWeight += weight;
        mSquaredWeight += weight * weight;
    }

    /** Ends a window of the given length. */
    void endWindow(double windowSeconds) {
        System.arraycopy(mWeights, 0, mWeights, 1, HISTORY_WINDOWS - 1);
        System.arraycopy(mSquaredWeights, 0, mSquaredWeights, 1, HISTORY_WINDOWS - 1);
        mWeights[0] = mWeight;
        mSquaredWeights[0] = mSquaredWeight;
        mWeight = 0;
        mSquaredWeight = 0;
        mWindows = Math.min(HISTORY_WINDOWS, mWindows + 1);
        if (mWindows == 1 || !detectShift(windowSeconds)) {
            smooth(windowSeconds);
        }
    }

    /** Returns the offered rate in requests per second. */
    double rate() {
        return mRate;
    }

    /** Returns the standard error of the rate, in requests per second. */
    double error() {
        return Math.sqrt(mVariance);
    }

    /** Adopts the rate of the last windows if it differs significantly from the estimate. */
    private boolean detectShift(double windowSeconds) {
        double weight = 0;
        double squaredWeight = 0;
        for (int k = 1; k <= mWindows; k++) {
            weight += mWeights[k - 1];
            squaredWeight += mSquaredWeights[k - 1];
            double spanSeconds = k * windowSeconds;
            double rate = weight / spanSeconds;
            double expectedVariance = mRate * mMeanWeight / spanSeconds;
            double observedVariance = squaredWeight / (spanSeconds * spanSeconds);
            double error = Math.sqrt(Math.max(expectedVariance, observedVariance) + mVariance);
            if (Math.abs(rate - mRate) > SHIFT_ERRORS * error) {
                mRate = rate;
                mVariance = observedVariance;
                mMeanWeight = weight > 0 ? squaredWeight / weight : mMeanWeight;
                mWindows = k;
                return true;
            }
        }
        return false;
    }

    private void smooth(double windowSeconds) {
        double rate = mWeights[0] / windowSeconds;
        double variance = mSquaredWeights[0] / (windowSeconds * windowSeconds);
        double arrivals = Math.max(mRate, rate) / mMeanWeight * windowSeconds;
        double smoothing = Math.min(MAX_SMOOTHING, arrivals / SMOOTHED_ARRIVALS);
        // The first windows are averaged, because there is no earlier estimate yet.
        smoothing = Math.max(Math.max(MIN_SMOOTHING, smoothing), 1.0 / mWindows);
        mRate += smoothing * (rate - mRate);
        mVariance =
                (1 - smoothing) * (1 - smoothing) * mVariance + smoothing * smoothing * variance;
        if (mWeights[0] > 0) {
            mMeanWeight += smoothing * (mSquaredWeights[0] / mWeights[0] - mMeanWeight);
        }
    }
}
