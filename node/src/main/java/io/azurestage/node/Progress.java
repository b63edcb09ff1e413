package io.azurestage.node;

import io.azurestage.core.admission.ChainKey;
import io.azurestage.core.admission.ChainLevels;
import io.azurestage.core.context.RequestContext;
import io.azurestage.core.retry.Allowance;
import io.azurestage.core.time.TimeSource;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** One request that this node's backend server works on. Thread-safe. */
final class Progress {
    private final RequestContext mContext;
    private final boolean mRepeatable;
    private final Allowance mAllowance;
    private final Cancellation mCancellation;
    private final Cancellation mBelow;
    private final TimeSource mTime;
    private final Set<ChainKey> mSubCalls = new HashSet<>();
    private int mOpenSubCalls;
    private long mWaitingSince;
    private long mWaitedNanos;

    Progress(
            RequestContext context,
            boolean repeatable,
            Cancellation cancellation,
            boolean outlivesCaller,
            TimeSource time) {
        mContext = context;
        mRepeatable = repeatable;
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

    synchronized void subCallStarted(ChainKey key) {
        mSubCalls.add(key);
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

    /** Fractions of all services below that this request has called. */
    Map<String, Double> levels(ChainLevels levels) {
        Set<ChainKey> keys;
        synchronized (this) {
            keys = Set.copyOf(mSubCalls);
        }
        Map<String, Double> all = new HashMap<>();
        keys.forEach(k -> levels.fractions(k).forEach((s, f) -> all.merge(s, f, Math::min)));
        return all;
    }
}
