package io.azurestage.core.admission;

import io.azurestage.config.Partner;
import io.azurestage.config.WorkClass;
import java.util.concurrent.TimeUnit;

/** Share, floor, slot usage and recent activity of one partner. */
final class PartnerState {
    static final int CLASSES = WorkClass.values().length;
    private static final int DEFAULT_SHARE = 1;
    private static final long ACTIVE_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final String mName;
    private final SlotUsage[] mUsage = new SlotUsage[CLASSES];
    private final long[] mLastArrival = new long[CLASSES];
    private final boolean[] mHasArrived = new boolean[CLASSES];
    private int mShare = DEFAULT_SHARE;
    private int mFloorPercent;
    private int mPriority = Integer.MAX_VALUE;
    private boolean mConfigured;

    PartnerState(String name, long nowNanos) {
        mName = name;
        for (int c = 0; c < CLASSES; c++) {
            mUsage[c] = new SlotUsage(nowNanos);
        }
    }

    void configure(Partner p) {
        mShare = Math.max(1, p.share());
        mFloorPercent = p.floor();
        mPriority = p.priority();
        mConfigured = true;
    }

    /** Resets the configured share. The partner keeps a minimal share for work in progress. */
    void unconfigure() {
        mShare = DEFAULT_SHARE;
        mFloorPercent = 0;
        mPriority = Integer.MAX_VALUE;
        mConfigured = false;
    }

    void arrived(int workClass, long nowNanos) {
        mLastArrival[workClass] = nowNanos;
        mHasArrived[workClass] = true;
    }

    /** Reports whether work of this or a higher class arrived within the last 10 s. */
    boolean isActive(int workClass, long nowNanos) {
        for (int c = 0; c <= workClass; c++) {
            if (mHasArrived[c] && nowNanos - mLastArrival[c] <= ACTIVE_NANOS) {
                return true;
            }
        }
        return false;
    }

    /** Reports whether this state can be removed: not configured, no running or recent work. */
    boolean isRemovable(long nowNanos) {
        return !mConfigured && inFlight() == 0 && !isActive(CLASSES - 1, nowNanos);
    }

    SlotUsage usage(int workClass) {
        return mUsage[workClass];
    }

    int inFlight() {
        int sum = 0;
        for (SlotUsage u : mUsage) {
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

    /** Returns the floor in slots at a concurrency limit, rounded. */
    long floorSlots(int limit) {
        return Math.round(limit * mFloorPercent / 100.0);
    }
}
