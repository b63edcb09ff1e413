package io.azurestage.core.admission;

import java.util.Arrays;
import java.util.concurrent.TimeUnit;

/**
 * The latest service times of one class, for the decision whether work can meet its deadline. A
 * quantile of few and young samples forgets a stall of the machine within seconds. A mean with its
 * deviation did not: after a stall of 2 s it refused a third of all work for another 10 s.
 */
final class RecentTimes {
    private static final int SAMPLES = 64;
    private static final int ENOUGH = 10;
    private static final double QUANTILE = 0.8;
    private static final double MEDIAN = 0.5;
    private static final long YOUNG_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Work is judged when it arrives, waits and starts; the samples change little in between. */
    private static final long REUSED_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

    private final long[] mHeld = new long[SAMPLES];
    private final long[] mEnded = new long[SAMPLES];
    private long mTypical;
    private long mTypicalAt;
    private int mSorted;
    private int mNext;
    private int mCount;

    void add(long heldNanos, long nowNanos) {
        mHeld[mNext] = heldNanos;
        mEnded[mNext] = nowNanos;
        mNext = (mNext + 1) % SAMPLES;
        mCount = Math.min(SAMPLES, mCount + 1);
    }

    /** Returns the time that most work needs, in nanoseconds, 0 without young samples. */
    long typical(long nowNanos) {
        if (mSorted < ENOUGH || nowNanos - mTypicalAt >= REUSED_NANOS) {
            mTypical = sorted(nowNanos);
            mTypicalAt = nowNanos;
        }
        return mTypical;
    }

    private long sorted(long nowNanos) {
        long[] young = new long[mCount];
        int n = 0;
        for (int i = 0; i < mCount; i++) {
            if (nowNanos - mEnded[i] <= YOUNG_NANOS) {
                young[n++] = mHeld[i];
            }
        }
        mSorted = n;
        if (n == 0) {
            return 0;
        }
        Arrays.sort(young, 0, n);
        return young[(int) (n * (n < ENOUGH ? MEDIAN : QUANTILE))];
    }
}
