package io.azurestage.core.admission;

import java.util.Arrays;
import java.util.concurrent.TimeUnit;

/**
 * Limits the queueing delay and the queue length, similar to CoDel: a burst may be queued for one
 * interval, but a queue that has not been empty for a whole interval is a standing queue, which
 * only adds delay.
 */
final class QueueDelayLimit {
    private static final long INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final double MAX_TARGET_NANOS = TimeUnit.MILLISECONDS.toNanos(300);
    private static final int MAX_LENGTH_PER_SLOT = 4;
    private static final int MIN_LENGTH = 4;

    private final AdmissionParameters mParameters;
    private final int mSlots;
    private final long[] mLastEmptyNanos = new long[PartnerState.CLASSES];

    QueueDelayLimit(AdmissionParameters parameters, int slots, long nowNanos) {
        mParameters = parameters;
        mSlots = slots;
        Arrays.fill(mLastEmptyNanos, nowNanos);
    }

    /** Records the classes for which no work of the same or a higher class is queued. */
    void observe(WorkQueue queue, long nowNanos) {
        for (int c = 0; c < mLastEmptyNanos.length && queue.sizeThroughClass(c) == 0; c++) {
            mLastEmptyNanos[c] = nowNanos;
        }
    }

    /** Returns the queueing delay that a standing queue may cause, in nanoseconds. */
    double targetNanos(double meanServiceNanos) {
        double target =
                Math.max(
                        mParameters.target().toNanos(),
                        mParameters.targetServiceTimes() * meanServiceNanos);
        return Math.min(MAX_TARGET_NANOS, target);
    }

    /** Returns the maximum queueing delay of work of a class, in nanoseconds. */
    double maxDelayNanos(int classIndex, double meanServiceNanos, long nowNanos) {
        double target = targetNanos(meanServiceNanos);
        double interval = Math.max(INTERVAL_NANOS, target);
        boolean standing = nowNanos - mLastEmptyNanos[classIndex] > interval;
        return standing ? target : interval;
    }

    /**
     * Returns the maximum queue length while work of this class is the first to be shed.
     *
     * @param startIntervalNanos mean time between two starts while the server is saturated
     */
    int maxLength(
            int classIndex, double startIntervalNanos, double meanServiceNanos, long nowNanos) {
        int upperBound = Math.max(MIN_LENGTH, MAX_LENGTH_PER_SLOT * mSlots);
        if (meanServiceNanos <= 0) {
            return Math.max(MIN_LENGTH, mSlots);
        }
        double length = maxDelayNanos(classIndex, meanServiceNanos, nowNanos) / startIntervalNanos;
        return (int) Math.max(MIN_LENGTH, Math.min(upperBound, Math.ceil(length)));
    }
}
