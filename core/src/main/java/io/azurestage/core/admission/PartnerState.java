package io.azurestage.core.admission;

import io.azurestage.config.Partner;
import io.azurestage.config.WorkClass;
import java.util.concurrent.TimeUnit;

/** What the controller knows about one partner. */
final class PartnerState {
    static final int CLASSES = WorkClass.values().length;
    private static final int UNKNOWN_SHARE = 1;
    private static final long ACTIVE_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final String mName;
    private final Usage[] mUsage = new Usage[CLASSES];
    private final long[] mLastArrival = new long[CLASSES];
    private final boolean[] mSeen = new boolean[CLASSES];
    private int mShare = UNKNOWN_SHARE;
    private int mFloor;
    private int mPriority = Integer.MAX_VALUE;
    private boolean mConfigured;

    PartnerState(String name, long nowNanos) {
        mName = name;
        for (int c = 0; c < CLASSES; c++) {
            mUsage[c] = new Usage(nowNanos);
        }
    }

    void configure(Partner p) {
        mShare = Math.max(1, p.share());
        mFloor = p.floor();
        mPriority = p.priority();
        mConfigured = true;
    }

    /** Forgets the agreed share. The partner keeps a minimal share for work in progress. */
    void unconfigure() {
        mShare = UNKNOWN_SHARE;
        mFloor = 0;
        mPriority = Integer.MAX_VALUE;
        mConfigured = false;
    }

    void arrived(int workClass, long nowNanos) {
        mLastArrival[workClass] = nowNanos;
        mSeen[workClass] = true;
    }

    /** Reports whether work of this class or a more important one arrived within the last 10 s. */
    boolean isActive(int workClass, long nowNanos) {
        for (int c = 0; c <= workClass; c++) {
            if (mSeen[c] && nowNanos - mLastArrival[c] <= ACTIVE_NANOS) {
                return true;
            }
        }
        return false;
    }

    /** Reports whether nothing is lost when this state is dropped. */
    boolean isDisposable(long nowNanos) {
        return !mConfigured && inFlight() == 0 && !isActive(CLASSES - 1, nowNanos);
    }

    Usage usage(int workClass) {
        return mUsage[workClass];
    }

    int inFlight() {
        int sum = 0;
        for (Usage u : mUsage) {
            sum += u.inFlight();
        }
        return sum;
    }

    String name() {
        return mName;
    }

    int share() {
        return mShare;
    }

    int priority() {
        return mPriority;
    }

    /** Returns the whole slots of this partner's floor at a limit. */
    long floorSlots(int limit) {
        return Math.round(limit * mFloor / 100.0);
    }
}
