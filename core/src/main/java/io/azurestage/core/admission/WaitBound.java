package io.azurestage.core.admission;

import java.util.Arrays;
import java.util.concurrent.TimeUnit;

/**
 * Bound on the waiting time, after CoDel: a burst may wait for one interval, but a queue that has
 * not been empty for a whole interval is a standing queue and only delays work.
 */
final class WaitBound {
    private static final long INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final double MAX_TARGET_NANOS = TimeUnit.MILLISECONDS.toNanos(300);
    private static final int MAX_LENGTH_PER_SLOT = 4;
    private static final int MIN_LENGTH = 4;

    private final Tuning mTuning;
    private final int mSlots;
    private final long[] mEmpty = new long[PartnerState.CLASSES];

    WaitBound(Tuning tuning, int slots, long nowNanos) {
        mTuning = tuning;
        mSlots = slots;
        Arrays.fill(mEmpty, nowNanos);
    }

    /** Notes for which classes nothing of their own or higher importance waits. */
    void observe(WorkQueue queue, long nowNanos) {
        for (int c = 0; c < mEmpty.length && queue.sizeUpTo(c) == 0; c++) {
            mEmpty[c] = nowNanos;
        }
    }

    /** Returns the waiting time that a standing queue may cause, in nanoseconds. */
    double targetNanos(double meanNanos) {
        double target =
                Math.max(mTuning.target().toNanos(), mTuning.targetServiceTimes() * meanNanos);
        return Math.min(MAX_TARGET_NANOS, target);
    }

    /** Returns how long work of a class may wait, in nanoseconds. */
    double allowedNanos(int classIndex, double meanNanos, long nowNanos) {
        double target = targetNanos(meanNanos);
        double interval = Math.max(INTERVAL_NANOS, target);
        boolean standing = nowNanos - mEmpty[classIndex] > interval;
        return standing ? target : interval;
    }

    /** Returns how much work may wait when work of this class is the first to be shed. */
    int maxLength(int classIndex, int limit, double meanNanos, long nowNanos) {
        int most = Math.max(MIN_LENGTH, MAX_LENGTH_PER_SLOT * mSlots);
        if (meanNanos <= 0) {
            return Math.max(MIN_LENGTH, mSlots);
        }
        double length = limit * allowedNanos(classIndex, meanNanos, nowNanos) / meanNanos;
        return (int) Math.max(MIN_LENGTH, Math.min(most, Math.ceil(length)));
    }
}
