package io.azurestage.core.admission;

import java.util.Arrays;
import java.util.concurrent.TimeUnit;

/**
 * Recent service times of one operation or class, used to decide whether work can meet its
 * deadline. A quantile of few recent samples recovers from a stall of the machine within seconds. A
 * mean and its deviation do not: after a stall of 2 s they caused a third of all work to be refused
 * for another 10 s.
 */
final class RecentServiceTimes {
    private static final int SAMPLES = 64;
    private static final int MIN_QUANTILE_SAMPLES = 10;
    private static final double QUANTILE = 0.8;
    private static final double MEDIAN = 0.5;
    private static final long MAX_AGE_NANOS = TimeUnit.SECONDS.toNanos(1);

    /**
     * Time for which a computed value is reused. Work is checked when it arrives, while it is
     * queued and when it starts, and the samples change little in between.
     */
    private static final long REUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

    private final long[] mServiceNanos = new long[SAMPLES];
    private final long[] mEndNanos = new long[SAMPLES];
    private long mTypicalNanos;
    private long mComputedNanos;
    private int mRecentCount;
    private int mNext;
    private int mCount;

    void add(long serviceNanos, long nowNanos) {
        mServiceNanos[mNext] = serviceNanos;
        mEndNanos[mNext] = nowNanos;
        mNext = (mNext + 1) % SAMPLES;
        mCount = Math.min(SAMPLES, mCount + 1);
    }

    /** Returns the time that most work takes, in nanoseconds, 0 without recent samples. */
    long typicalNanos(long nowNanos) {
        if (mRecentCount < MIN_QUANTILE_SAMPLES || nowNanos - mComputedNanos >= REUSE_NANOS) {
            mTypicalNanos = computeTypicalNanos(nowNanos);
            mComputedNanos = nowNanos;
        }
        return mTypicalNanos;
    }

    private long computeTypicalNanos(long nowNanos) {
        long[] recent = new long[mCount];
        int n = 0;
        for (int i = 0; i < mCount; i++) {
            if (nowNanos - mEndNanos[i] <= MAX_AGE_NANOS) {
                recent[n++] = mServiceNanos[i];
            }
        }
        mRecentCount = n;
        if (n == 0) {
            return 0;
        }
        Arrays.sort(recent, 0, n);
        return recent[(int) (n * (n < MIN_QUANTILE_SAMPLES ? MEDIAN : QUANTILE))];
    }
}
