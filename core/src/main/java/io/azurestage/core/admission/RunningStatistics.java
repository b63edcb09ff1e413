package io.azurestage.core.admission;

/** Incremental mean and variance of samples; the weight of older samples can be reduced. */
final class RunningStatistics {
    private double mCount;
    private double mMean;
    private double mSquaredDeviations;

    void add(double x) {
        mCount++;
        double delta = x - mMean;
        mMean += delta / mCount;
        mSquaredDeviations += delta * (x - mMean);
    }

    void merge(RunningStatistics other) {
        if (other.mCount == 0) {
            return;
        }
        double count = mCount + other.mCount;
        double delta = other.mMean - mMean;
        mSquaredDeviations +=
                other.mSquaredDeviations + delta * delta * mCount * other.mCount / count;
        mMean += delta * other.mCount / count;
        mCount = count;
    }

    /** Multiplies the weight of all samples so far by a factor in [0,1]. */
    void scale(double factor) {
        mCount *= factor;
        mSquaredDeviations *= factor;
    }

    void clear() {
        mCount = 0;
        mMean = 0;
        mSquaredDeviations = 0;
    }

    double count() {
        return mCount;
    }

    double mean() {
        return mMean;
    }

    double deviation() {
        return mCount > 1 ? Math.sqrt(mSquaredDeviations / (mCount - 1)) : 0;
    }

    /** Returns the standard error of the mean, infinite if there are too few samples. */
    double standardError() {
        return mCount > 1 ? deviation() / Math.sqrt(mCount) : Double.POSITIVE_INFINITY;
    }
}
