package io.azurestage.core.admission;

/**
 * Demand of one partner and class. A change that chance explains is smoothed; a larger one, seen
 * over the last window or a few of them, is taken over at once, so that fractions follow the start
 * and the end of a surge without following the noise of few arrivals.
 */
final class DemandWindow {
    private static final int HISTORY = 8;
    private static final double SHIFT_ERRORS = 3;
    private static final double SMOOTHED_ARRIVALS = 100;
    private static final double MIN_SMOOTHING = 0.03;
    private static final double MAX_SMOOTHING = 0.3;

    private final double[] mWeights = new double[HISTORY];
    private final double[] mSquares = new double[HISTORY];
    private double mWeight;
    private double mSquare;
    private double mRate;
    private double mVariance;
    private double mTypicalWeight = 1;
    private int mWindows;

    void arrived(double weight) {
        mWeight += weight;
        mSquare += weight * weight;
    }

    /** Ends a window of the given length. */
    void roll(double seconds) {
        System.arraycopy(mWeights, 0, mWeights, 1, HISTORY - 1);
        System.arraycopy(mSquares, 0, mSquares, 1, HISTORY - 1);
        mWeights[0] = mWeight;
        mSquares[0] = mSquare;
        mWeight = 0;
        mSquare = 0;
        mWindows = Math.min(HISTORY, mWindows + 1);
        if (mWindows == 1 || !takeShift(seconds)) {
            smooth(seconds);
        }
    }

    /** Returns the offered requests per second. */
    double rate() {
        return mRate;
    }

    /** Returns the standard error of the rate, in requests per second. */
    double error() {
        return Math.sqrt(mVariance);
    }

    private boolean takeShift(double seconds) {
        double weight = 0;
        double square = 0;
        for (int k = 1; k <= mWindows; k++) {
            weight += mWeights[k - 1];
            square += mSquares[k - 1];
            double length = k * seconds;
            double rate = weight / length;
            double expected = mRate * mTypicalWeight / length;
            double seen = square / (length * length);
            double error = Math.sqrt(Math.max(expected, seen) + mVariance);
            if (Math.abs(rate - mRate) > SHIFT_ERRORS * error) {
                mRate = rate;
                mVariance = seen;
                mTypicalWeight = weight > 0 ? square / weight : mTypicalWeight;
                mWindows = k;
                return true;
            }
        }
        return false;
    }

    private void smooth(double seconds) {
        double rate = mWeights[0] / seconds;
        double variance = mSquares[0] / (seconds * seconds);
        double arrivals = Math.max(mRate, rate) / mTypicalWeight * seconds;
        double part = Math.min(MAX_SMOOTHING, arrivals / SMOOTHED_ARRIVALS);
        // The first windows are averaged, because there is no estimate yet to smooth with.
        part = Math.max(Math.max(MIN_SMOOTHING, part), 1.0 / mWindows);
        mRate += part * (rate - mRate);
        mVariance = (1 - part) * (1 - part) * mVariance + part * part * variance;
        if (mWeights[0] > 0) {
            mTypicalWeight += part * (mSquares[0] / mWeights[0] - mTypicalWeight);
        }
    }
}
