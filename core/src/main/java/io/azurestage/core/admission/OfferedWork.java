package io.azurestage.core.admission;

import java.util.concurrent.TimeUnit;

/** Rate and service times of one kind of work at a server, from which its demand follows. */
final class OfferedWork {
    private final DemandEstimate mRates = new DemandEstimate();
    private final ServiceTimes mTimes;
    private int mRunning;

    OfferedWork(long nowNanos) {
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

    void ended(Waiting w, Completion c, long nowNanos) {
        mRunning--;
        if (c.outcome() != Completion.Outcome.SERVER_REFUSED) {
            mTimes.add(w, c.totalNanos(), nowNanos);
        }
    }

    /** Ends a window of the given length. */
    void roll(double seconds, long nowNanos) {
        mTimes.roll(nowNanos);
        mRates.roll(seconds);
    }

    /** Returns the time that most work of an operation needs, in nanoseconds, 0 when unknown. */
    double forDeadline(Waiting w, long nowNanos) {
        return mTimes.forDeadline(w, isBusy(), nowNanos);
    }

    /** Returns the mean over all classes in nanoseconds, 0 when unknown. */
    double meanNanos(long nowNanos) {
        return mTimes.mean(isBusy(), nowNanos);
    }

    Demand demand(PartnerClass key, long nowNanos) {
        DemandWindow window = mRates.windows().get(key);
        if (window == null) {
            return Demand.NONE;
        }
        double mean = mTimes.mean(key.workClass().ordinal(), isBusy(), nowNanos);
        double slotsPerRate = mean / TimeUnit.SECONDS.toNanos(1);
        return new Demand(window.rate() * slotsPerRate, window.error() * slotsPerRate);
    }

    private boolean isBusy() {
        return mRunning > 0;
    }
}
