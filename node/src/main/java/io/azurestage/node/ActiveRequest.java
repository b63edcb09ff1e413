package io.azurestage.node;

import io.azurestage.config.WorkClass;
import io.azurestage.core.admission.ServiceLevel;
import io.azurestage.core.context.RequestContext;
import io.azurestage.core.retry.Allowance;
import io.azurestage.core.time.TimeSource;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** One request that this node's backend server works on. Thread-safe. */
final class ActiveRequest {
    private final RequestContext mContext;
    private final boolean mRepeatable;
    private final Allowance mAllowance;
    private final Cancellation mCancellation;
    private final Cancellation mBelow;
    private final TimeSource mTime;
    private final Map<LevelKey, Double> mLevels = new HashMap<>();
    private volatile double mEntryFraction;
    private int mOpenSubCalls;
    private long mWaitingSince;
    private long mWaitedNanos;

    ActiveRequest(
            RequestContext context,
            boolean repeatable,
            Cancellation cancellation,
            boolean outlivesCaller,
            TimeSource time) {
        mContext = context;
        mRepeatable = repeatable;
        mEntryFraction = context.entryFraction();
        mAllowance = new Allowance(context.allowance());
        mCancellation = cancellation;
        mBelow = outlivesCaller ? new Cancellation() : cancellation;
        mTime = time;
    }

    RequestContext context() {
        return mContext;
    }

    /** Whether this request or an ancestor may be run again. */
    boolean isRepeatable() {
        return mRepeatable;
    }

    /** Admitted fraction in force on the way here. */
    double entryFraction() {
        return mEntryFraction;
    }

    void entryFraction(double fraction) {
        mEntryFraction = fraction;
    }

    Allowance allowance() {
        return mAllowance;
    }

    Cancellation cancellation() {
        return mCancellation;
    }

    /** Ends the calls that the backend server has made for this request. */
    Cancellation below() {
        return mBelow;
    }

    synchronized void subCallStarted() {
        if (mOpenSubCalls++ == 0) {
            mWaitingSince = mTime.nanos();
        }
    }

    synchronized void subCallEnded() {
        if (--mOpenSubCalls == 0) {
            mWaitedNanos += mTime.nanos() - mWaitingSince;
        }
    }

    /** Time in which at least one sub-call was open. */
    synchronized long waitedNanos() {
        return mOpenSubCalls > 0 ? mWaitedNanos + mTime.nanos() - mWaitingSince : mWaitedNanos;
    }

    private record LevelKey(String service, WorkClass workClass) {}

    /** Learns the admitted fractions that the answer of a sub-call carried. */
    synchronized void learn(Collection<ServiceLevel> levels) {
        for (ServiceLevel l : levels) {
            mLevels.merge(new LevelKey(l.service(), l.workClass()), l.fraction(), Math::min);
        }
    }

    /** Fractions of the services that this request has reached. */
    synchronized List<ServiceLevel> levels() {
        return mLevels.entrySet().stream()
                .map(
                        e ->
                                new ServiceLevel(
                                        e.getKey().service(), e.getKey().workClass(), e.getValue()))
                .toList();
    }
}
