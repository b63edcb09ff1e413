package io.azurestage.core.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Service times, which is the time for which work holds its slot, by class and operation. */
final class ServiceTimes {
    private static final int MAX_OPERATIONS = 1_024;
    private static final double MIN_SAMPLES = 100;

    /**
     * Minimum number of samples in a window for detecting a shift: two slow responses in a row do
     * not mean that the server has become slow.
     */
    private static final double MIN_SHIFT_SAMPLES = 5;

    private static final double MIN_MERGE_SAMPLES = 10;
    private static final int MAX_UNMERGED_WINDOWS = 5;
    private static final double MIN_KEEP_RATIO = 0.5;
    private static final double SHIFT_ERRORS = 4;
    private static final long MAX_AGE_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long MIN_STALL_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
    private static final int STALL_FACTOR = 3;

    private final RunningStatistics[] mHistory = new RunningStatistics[PartnerState.CLASSES];
    private final RunningStatistics[] mWindow = new RunningStatistics[PartnerState.CLASSES];
    private final Map<String, RecentServiceTimes> mRecentTimes = new HashMap<>();
    private final RunningStatistics mAll = new RunningStatistics();
    private final int[] mUnmergedWindows = new int[PartnerState.CLASSES];
    private final long[] mLastEndByClass = new long[PartnerState.CLASSES];
    private long mLastEndNanos;

    ServiceTimes(long nowNanos) {
        mLastEndNanos = nowNanos;
        for (int c = 0; c < mHistory.length; c++) {
            mHistory[c] = new RunningStatistics();
            mWindow[c] = new RunningStatistics();
        }
    }

    void add(TrackedRequest w, long serviceNanos, long nowNanos) {
        int workClass = w.classIndex();
        mWindow[workClass].add(Math.max(1, serviceNanos));
        recentTimes(w).add(serviceNanos, nowNanos);
        mLastEndByClass[workClass] = nowNanos;
        mLastEndNanos = nowNanos;
    }

    /** Restarts the stall detection when the server changes from idle to busy. */
    void busy(long nowNanos) {
        mLastEndNanos = nowNanos;
    }

    /** Merges the samples of the last window into the estimate. */
    void endWindow(long nowNanos) {
        RunningStatistics merged = new RunningStatistics();
        for (int c = 0; c < mHistory.length; c++) {
            mUnmergedWindows[c]++;
            boolean tooFew = mWindow[c].count() < MIN_MERGE_SAMPLES;
            if (mHistory[c].count() == 0
                    || !tooFew
                    || mUnmergedWindows[c] >= MAX_UNMERGED_WINDOWS) {
                merge(mHistory[c], mWindow[c]);
                mWindow[c].clear();
                mUnmergedWindows[c] = 0;
            }
            if (!isStale(c, nowNanos)) {
                merged.merge(mHistory[c]);
            }
        }
        if (merged.count() > 0) {
            mAll.clear();
            mAll.merge(merged);
        }
    }

    /** Returns the mean over all classes in nanoseconds, 0 if unknown. */
    double meanNanos(boolean busy, long nowNanos) {
        return adjustForStall(mAll.mean(), busy, nowNanos);
    }

    /** Returns the mean of a class in nanoseconds, or of all classes if it has no samples. */
    double meanNanos(int workClass, boolean busy, long nowNanos) {
        RunningStatistics history = mHistory[workClass];
        return adjustForStall(history.count() >= 1 ? history.mean() : mAll.mean(), busy, nowNanos);
    }

    /**
     * Returns the service time to assume when checking whether work can meet its deadline.
     *
     * @return nanoseconds, 0 if no work has completed recently. Otherwise an estimate that causes
     *     all work to be refused would never be corrected.
     */
    double deadlineEstimateNanos(TrackedRequest w, boolean busy, long nowNanos) {
        return adjustForStall(recentTimes(w).typicalNanos(nowNanos), busy, nowNanos);
    }

    /** Returns the samples per operation, since service times vary widely within a class. */
    private RecentServiceTimes recentTimes(TrackedRequest w) {
        String operation = w.work().operation();
        String key = operation.isEmpty() ? w.work().workClass().name() : operation;
        if (mRecentTimes.size() >= MAX_OPERATIONS && !mRecentTimes.containsKey(key)) {
            mRecentTimes.clear();
        }
        return mRecentTimes.computeIfAbsent(key, k -> new RecentServiceTimes());
    }

    private boolean isStale(int workClass, long nowNanos) {
        return nowNanos - mLastEndByClass[workClass] > MAX_AGE_NANOS;
    }

    /**
     * Returns at least the time since the last completion if the server appears to hang, the mean
     * otherwise. Completions stop when a server hangs, so the mean of completed work alone would be
     * outdated.
     */
    private double adjustForStall(double mean, boolean busy, long nowNanos) {
        long sinceLastEndNanos = nowNanos - mLastEndNanos;
        boolean stalled =
                busy && sinceLastEndNanos > Math.max(MIN_STALL_NANOS, STALL_FACTOR * mean);
        return stalled && mean > 0 ? Math.max(mean, sinceLastEndNanos) : mean;
    }

    /** Merges a window into the estimate, which is discarded after a significant shift. */
    private static void merge(RunningStatistics history, RunningStatistics window) {
        if (window.count() == 0) {
            return;
        }
        double shift = Math.abs(window.mean() - history.mean());
        boolean comparable = history.count() > 0 && window.count() >= MIN_SHIFT_SAMPLES;
        if (comparable && shift > SHIFT_ERRORS * combinedStandardError(history, window)) {
            history.clear();
        }
        double neededSamples = Math.max(0, MIN_SAMPLES - window.count());
        double keepRatio = history.count() == 0 ? 1 : Math.min(1, neededSamples / history.count());
        history.scale(Math.max(MIN_KEEP_RATIO, keepRatio));
        history.merge(window);
    }

    private static double combinedStandardError(RunningStatistics a, RunningStatistics b) {
        return Math.hypot(a.standardError(), b.standardError());
    }
}
