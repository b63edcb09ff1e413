package io.azurestage.core.admission;

import java.util.Arrays;
import java.util.concurrent.TimeUnit;

/** Rate at which one entry node is asked for one chain, admitted or not. */
final class OfferedRate {
    private static final long WINDOW_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final double WINDOW_SECONDS = 0.1;

    /** A fraction is up to two windows old when it arrives. */
    private static final int RECENT = 3;

    private static final int MAX_ROLLS = 16;

    private final DemandWindow mWindow = new DemandWindow();
    private final double[] mRecent = new double[RECENT];
    private long mWindowStart;

    OfferedRate(long nowNanos) {
        mWindowStart = nowNanos;
    }

    void arrived(long nowNanos) {
        roll(nowNanos);
        mWindow.arrived(1);
    }

    /** Returns requests per second now. */
    double rate(long nowNanos) {
        roll(nowNanos);
        return mWindow.rate();
    }

    /** Returns the highest rate of the last windows. */
    double recentRate(long nowNanos) {
        roll(nowNanos);
        return Arrays.stream(mRecent).max().orElse(0);
    }

    private void roll(long nowNanos) {
        long windows = (nowNanos - mWindowStart) / WINDOW_NANOS;
        for (long i = 0; i < Math.min(windows, MAX_ROLLS); i++) {
            mWindow.roll(WINDOW_SECONDS);
            System.arraycopy(mRecent, 0, mRecent, 1, RECENT - 1);
            mRecent[0] = mWindow.rate();
        }
        mWindowStart += Math.max(0, windows) * WINDOW_NANOS;
    }
}
