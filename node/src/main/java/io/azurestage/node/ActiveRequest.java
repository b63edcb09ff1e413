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

/** A request that the local backend server is executing. Thread-safe. */
final class ActiveRequest {
    private final RequestContext mContext;
    private final boolean mRepeatable;
    private final Allowance mAllowance;
    private final Cancellation mCancellation;
    private final Cancellation mSubCallCancellation;
    private final TimeSource mTime;
    private final Map<LevelKey, Double> mLevels = new HashMap<>();
    private volatile double mEntryFraction;
    private int mOpenSubCalls;
    private long mWaitStartNanos;
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
        mSubCallCancellation = outlivesCaller ? new Cancellation() : cancellation;
        mTime = time;
    }

    RequestContext context() {
        return mContext;
    }

    /** Reports whether this request or one of its ancestors may be run again. */
    boolean isRepeatable() {
        return mRepeatable;
    }

    /** Returns the admitted fraction, 0 to 1, applied on the path to this hop. */
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

    /**
     * Returns the signal that cancels the sub-calls of this request. It is separate from {@link
     * #cancellation()} if the request may outlive its caller.
     */
    Cancellation subCallCancellation() {
        return mSubCallCancellation;
    }

    synchronized void subCallStarted() {
        if (mOpenSubCalls++ == 0) {
            mWaitStartNanos = mTime.nanos();
        }
    }

    synchronized void subCallEnded() {
        if (--mOpenSubCalls == 0) {
            mWaitedNanos += mTime.nanos() - mWaitStartNanos;
        }
    }

    /** Returns the time in nanoseconds during which at least one sub-call was in progress. */
    synchronized long waitedNanos() {
        return mOpenSubCalls > 0 ? mWaitedNanos + mTime.nanos() - mWaitStartNanos : mWaitedNanos;
    }

    private record LevelKey(String service, WorkClass workClass) {}

    /**
     * Records the admitted fractions reported in an answer; the lowest per service and class wins.
     */
    synchronized void recordLevels(Collection<ServiceLevel> levels) {
        for (ServiceLevel l : levels) {
            mLevels.merge(new LevelKey(l.service(), l.workClass()), l.fraction(), Math::min);
        }
    }

    /** Returns the lowest admitted fractions of the services that this request has reached. */
    synchronized List<ServiceLevel> levels() {
        return mLevels.entrySet().stream()
                .map(
                        e ->
                                new ServiceLevel(
                                        e.getKey().service(), e.getKey().workClass(), e.getValue()))
                .toList();
    }
}
