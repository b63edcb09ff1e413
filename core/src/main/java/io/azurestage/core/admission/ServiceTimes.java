package io.azurestage.core.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Time that work holds its slot, by class. */
final class ServiceTimes {
    private static final int MAX_OPERATIONS = 1_024;
    private static final double MIN_SAMPLES = 100;

    /** Two slow answers in a row are no sign that the server has become slow. */
    private static final double MIN_SHIFT_SAMPLES = 5;

    private static final double MERGED_SAMPLES = 10;
    private static final int MAX_GATHERED_WINDOWS = 5;
    private static final double KEEP_PER_WINDOW = 0.5;
    private static final double SHIFT_ERRORS = 4;
    private static final long STALE_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long MIN_STALL_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
    private static final int STALL_MEANS = 3;

    private final RunningMean[] mPast = new RunningMean[PartnerState.CLASSES];
    private final RunningMean[] mWindow = new RunningMean[PartnerState.CLASSES];
    private final Map<String, RecentTimes> mRecent = new HashMap<>();
    private final RunningMean mAll = new RunningMean();
    private final int[] mGathered = new int[PartnerState.CLASSES];
    private final long[] mLastOfClass = new long[PartnerState.CLASSES];
    private long mLastNanos;

    ServiceTimes(long nowNanos) {
        mLastNanos = nowNanos;
        for (int c = 0; c < mPast.length; c++) {
            mPast[c] = new RunningMean();
            mWindow[c] = new RunningMean();
        }
    }

    void add(Waiting w, long heldNanos, long nowNanos) {
        int workClass = w.classIndex();
        mWindow[workClass].add(Math.max(1, heldNanos));
        recent(w).add(heldNanos, nowNanos);
        mLastOfClass[workClass] = nowNanos;
        mLastNanos = nowNanos;
    }

    /** Restarts the stall detection when the server turns from idle to busy. */
    void busy(long nowNanos) {
        mLastNanos = nowNanos;
    }

    /** Merges the samples of the last window into the estimate. */
    void roll(long nowNanos) {
        RunningMean all = new RunningMean();
        for (int c = 0; c < mPast.length; c++) {
            mGathered[c]++;
            boolean few = mWindow[c].count() < MERGED_SAMPLES;
            if (mPast[c].count() == 0 || !few || mGathered[c] >= MAX_GATHERED_WINDOWS) {
                merge(mPast[c], mWindow[c]);
                mWindow[c].clear();
                mGathered[c] = 0;
            }
            if (!isStale(c, nowNanos)) {
                all.merge(mPast[c]);
            }
        }
        if (all.count() > 0) {
            mAll.clear();
            mAll.merge(all);
        }
    }

    /** Returns the mean over all classes in nanoseconds, 0 when unknown. */
    double mean(boolean busy, long nowNanos) {
        return stalled(mAll.mean(), busy, nowNanos);
    }

    /** Returns the mean of a class in nanoseconds, that of all classes when it has no samples. */
    double mean(int workClass, boolean busy, long nowNanos) {
        RunningMean past = mPast[workClass];
        return stalled(past.count() >= 1 ? past.mean() : mAll.mean(), busy, nowNanos);
    }

    /**
     * Returns the time to allow for work that has to meet its deadline.
     *
     * @return nanoseconds, 0 when nothing has completed lately. An estimate that refuses all work
     *     would otherwise never be corrected.
     */
    double forDeadline(Waiting w, boolean busy, long nowNanos) {
        return stalled(recent(w).typical(nowNanos), busy, nowNanos);
    }

    /** Operations of one class may differ a lot in time, so each has its own estimate. */
    private RecentTimes recent(Waiting w) {
        String operation = w.work().operation();
        String key = operation.isEmpty() ? w.work().workClass().name() : operation;
        if (mRecent.size() >= MAX_OPERATIONS && !mRecent.containsKey(key)) {
            mRecent.clear();
        }
        return mRecent.computeIfAbsent(key, k -> new RecentTimes());
    }

    private boolean isStale(int workClass, long nowNanos) {
        return nowNanos - mLastOfClass[workClass] > STALE_NANOS;
    }

    /** Completions stop when a server hangs, so the mean of completed work alone would be stale. */
    private double stalled(double mean, boolean busy, long nowNanos) {
        long silent = nowNanos - mLastNanos;
        boolean hangs = busy && silent > Math.max(MIN_STALL_NANOS, STALL_MEANS * mean);
        return hangs && mean > 0 ? Math.max(mean, silent) : mean;
    }

    private static void merge(RunningMean past, RunningMean window) {
        if (window.count() == 0) {
            return;
        }
        double shift = Math.abs(window.mean() - past.mean());
        boolean enough = past.count() > 0 && window.count() >= MIN_SHIFT_SAMPLES;
        if (enough && shift > SHIFT_ERRORS * error(past, window)) {
            past.clear();
        }
        double needed = Math.max(0, MIN_SAMPLES - window.count());
        double keep = past.count() == 0 ? 1 : Math.min(1, needed / past.count());
        past.scale(Math.max(KEEP_PER_WINDOW, keep));
        past.merge(window);
    }

    private static double error(RunningMean a, RunningMean b) {
        return Math.hypot(a.standardError(), b.standardError());
    }
}
