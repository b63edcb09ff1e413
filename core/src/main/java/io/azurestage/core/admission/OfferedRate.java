package io.azurestage.core.admission;

import java.util.Arrays;
import java.util.concurrent.TimeUnit;

/** Rate of the requests for one chain at one entry node, whether admitted or refused. */
final class OfferedRate {
    private static final long WINDOW_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final double WINDOW_SECONDS = 0.1;

    /** Number of windows to look back, because feedback is up to two windows old on arrival. */
    private static final int RECENT_WINDOWS = 3;

    private static final int MAX_WINDOWS_PER_UPDATE = 16;

    private final ArrivalRateEstimator mEstimator = new ArrivalRateEstimator();
    private final double[] mRecentRates = new double[RECENT_WINDOWS];
    private long mWindowStart;

    OfferedRate(long nowNanos) {
        mWindowStart = nowNanos;
    }

    void arrived(long nowNanos) {
        advanceWindows(nowNanos);
        mEstimator.arrived(1);
    }

    /** Returns the current rate in requests per second. */
    double rate(long nowNanos) {
        advanceWindows(nowNanos);
        return mEstimator.rate();
    }

    /** Returns the highest rate of the last windows, in requests per second. */
    double recentRate(long nowNanos) {
        advanceWindows(nowNanos);
        return Arrays.stream(mRecentRates).max().orElse(0);
    }

    private void advanceWindows(long nowNanos) {
        long windows = (nowNanos - mWindowStart) / WINDOW_NANOS;
        for (long i = 0; i < Math.min(windows, MAX_WINDOWS_PER_UPDATE); i++) {
            mEstimator.endWindow(WINDOW_SECONDS);
            System.arraycopy(mRecentRates, 0, mRecentRates, 1, RECENT_WINDOWS - 1);
            mRecentRates[0] = mEstimator.rate();
        }
        mWindowStart += Math.max(0, windows) * WINDOW_NANOS;
    }
}
