package io.azurestage.core.admission;

/** Mean and variance of samples, of which older ones can be given less weight. */
final class RunningMean {
    private double mCount;
    private double mMean;
    private double mSquares;

    void add(double x) {
        mCount++;
        double delta = x - mMean;
        mMean += delta / mCount;
        mSquares += delta * (x - mMean);
    }

    void merge(RunningMean other) {
        if (other.mCount == 0) {
            return;
        }
        double count = mCount + other.mCount;
        double delta = other.mMean - mMean;
        mSquares += other.mSquares + delta * delta * mCount * other.mCount / count;
        mMean += delta * other.mCount / count;
        mCount = count;
    }

    /** Reduces the weight of all samples so far, with a factor in [0,1]. */
    void scale(double factor) {
        mCount *= factor;
        mSquares *= factor;
    }

    void clear() {
        mCount = 0;
        mMean = 0;
        mSquares = 0;
    }

    double count() {
        return mCount;
    }

    double mean() {
        return mMean;
    }

    double deviation() {
        return mCount > 1 ? Math.sqrt(mSquares / (mCount - 1)) : 0;
    }

    /** Returns the standard error of the mean, infinite when there are too few samples. */
    double standardError() {
        return mCount > 1 ? deviation() / Math.sqrt(mCount) : Double.POSITIVE_INFINITY;
    }
}
