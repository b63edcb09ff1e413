package io.azurestage.core.admission;

import java.util.concurrent.TimeUnit;

/** Measures the arrival rates and service times of one kind of work to estimate its demand. */
final class DemandEstimator {
    private final ArrivalRates mRates = new ArrivalRates();
    private final ServiceTimes mTimes;
    private int mRunning;

    DemandEstimator(long nowNanos) {
        mTimes = new ServiceTimes(nowNanos);
    }

    void arrived(PartnerClass key, double entryFraction) {
        mRates.arrived(key, entryFraction);
    }

    void started(long nowNanos) {
        if (mRunning++ == 0) {
            mTimes.busy(nowNanos);
        }
    }

    void ended(TrackedRequest w, Completion c, long nowNanos) {
        mRunning--;
        switch (c.outcome()) {
            case SERVER_REFUSED -> {}
            case PAUSED -> mTimes.busy(nowNanos);
            default -> mTimes.add(w, c.totalNanos(), nowNanos);
        }
    }

    /** Ends a window of the given length. */
    void endWindow(double seconds, long nowNanos) {
        mTimes.endWindow(nowNanos);
        mRates.endWindow(seconds);
    }

    /** Returns the time that most work of an operation takes, in nanoseconds, 0 if unknown. */
    double deadlineEstimateNanos(TrackedRequest w, long nowNanos) {
        return mTimes.deadlineEstimateNanos(w, isBusy(), nowNanos);
    }

    /** Returns the mean service time over all classes, in nanoseconds, 0 if unknown. */
    double meanServiceNanos(long nowNanos) {
        return mTimes.meanNanos(isBusy(), nowNanos);
    }

    Demand demand(PartnerClass key, long nowNanos) {
        ArrivalRateEstimator estimator = mRates.estimators().get(key);
        if (estimator == null) {
            return Demand.NONE;
        }
        double meanServiceNanos = mTimes.meanNanos(key.workClass().ordinal(), isBusy(), nowNanos);
        double meanSeconds = meanServiceNanos / TimeUnit.SECONDS.toNanos(1);
        return new Demand(estimator.rate() * meanSeconds, estimator.error() * meanSeconds);
    }

    private boolean isBusy() {
        return mRunning > 0;
    }
}
