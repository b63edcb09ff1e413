package io.azurestage.core.admission;

import java.util.concurrent.TimeUnit;

/**
 * Adaptive concurrency limit of one server. It is adjusted by the gradient between the baseline and
 * the current latency of the server, excluding the time of its own calls, and is lowered when the
 * server refuses requests.
 */
final class ConcurrencyLimit {
    /** Ratio of the latency to the baseline above which the limit is reduced. */
    private static final double LATENCY_TOLERANCE = 2;

    /** Ratio of the latency to the baseline up to which the limit grows exponentially. */
    private static final double GROWTH_TOLERANCE = 1.2;

    private static final double MIN_GRADIENT = 0.5;

    /** Lower bound of the limit, as a ratio of the slots. */
    private static final double MIN_LIMIT_RATIO = 0.1;

    /** Standard errors by which the latency must exceed the tolerance for a reduction. */
    private static final double REDUCTION_ERRORS = 2;

    /** Standard errors below the baseline at which the baseline is lowered at once. */
    private static final double BASELINE_ERRORS = 3;

    /** Smoothing factor per window while the latency is above the baseline. */
    private static final double BASELINE_RISE_FACTOR = 0.01;

    /** Smoothing factor per window while the latency is below the baseline. */
    private static final double BASELINE_FALL_FACTOR = 0.1;

    /** Ratio to the concurrency before a reduction at which the effect is evaluated. */
    private static final double REDUCED_CONCURRENCY_RATIO = 0.6;

    /** Ratio to the latency before a reduction from which the reduction had no effect. */
    private static final double UNCHANGED_LATENCY_RATIO = 0.8;

    private static final int MIN_SAMPLES = 10;
    private static final int ENOUGH_SAMPLES = 50;
    private static final int SAMPLES_PER_SLOT = 2;

    /**
     * Windows from which the first baseline is learned. One is not enough, because only the fastest
     * responses arrive during the first window after a start.
     */
    private static final int INITIAL_WINDOWS = 3;

    private static final int MIN_BASELINE_SAMPLES = 10;
    private static final long MAX_WINDOW_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long MAX_SETTLE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private final int mSlots;
    private final RunningStatistics mWindow = new RunningStatistics();
    private final RunningStatistics mInitialSamples = new RunningStatistics();
    private int mInitialWindows;
    private double mLimit;
    private double mStep = 1;
    private double mBaseline;
    private double mWindowLimit;
    private boolean mRefused;
    private long mWindowStart;
    private long mSettledNanos;
    private double mConcurrencyBeforeReduction;
    private double mLatencyBeforeReduction;

    ConcurrencyLimit(int slots, long nowNanos) {
        mSlots = slots;
        mLimit = slots;
        mWindowLimit = slots;
        mWindowStart = nowNanos;
        mSettledNanos = nowNanos;
    }

    int limit() {
        return (int) mLimit;
    }

    /**
     * Records the completion of a request.
     *
     * @param c how it ended
     * @param othersInFlight number of other requests that the server is running
     */
    void completed(Completion c, int othersInFlight) {
        switch (c.outcome()) {
            case ANSWERED -> mWindow.add(Math.max(1, c.ownNanos()));
            case SERVER_REFUSED -> onRefusal(othersInFlight);
            // Failures are often faster than responses, and cancelled requests have no latency.
            default -> {}
        }
    }

    /** Ends a window and adjusts the limit to it. Call this every 100 ms. */
    void endWindow(long nowNanos) {
        mWindowLimit = mLimit;
        if (mRefused) {
            mRefused = false;
            restartWindow(nowNanos);
            return;
        }
        if (nowNanos - mSettledNanos < 0) {
            restartWindow(nowNanos);
            return;
        }
        double neededSamples =
                Math.max(MIN_SAMPLES, Math.min(ENOUGH_SAMPLES, SAMPLES_PER_SLOT * mLimit));
        if (mWindow.count() < neededSamples && nowNanos - mWindowStart < MAX_WINDOW_NANOS) {
            return;
        }
        if (mWindow.count() == 0) {
            grow();
        } else {
            adjustToLatency(nowNanos);
        }
        restartWindow(nowNanos);
    }

    /**
     * Lowers the limit to the number of requests that a refusing server still runs, since it has no
     * capacity for more. The limit is at most halved per window, so that a single refusal under
     * light load has little effect.
     */
    private void onRefusal(int othersInFlight) {
        double sustained = Math.max(othersInFlight, mWindowLimit * MIN_GRADIENT);
        mLimit = Math.max(minLimit(), Math.min(mLimit, sustained));
        mStep = 1;
        mRefused = true;
    }

    private void adjustToLatency(long nowNanos) {
        if (mInitialWindows < INITIAL_WINDOWS) {
            mInitialWindows++;
            mInitialSamples.merge(mWindow);
            mBaseline = mInitialSamples.mean();
        }
        double latency = mWindow.mean();
        double lowerBound = latency - REDUCTION_ERRORS * mWindow.standardError();
        if (lowerBound <= LATENCY_TOLERANCE * mBaseline) {
            mConcurrencyBeforeReduction = 0;
            adaptBaseline();
            if (latency <= GROWTH_TOLERANCE * mBaseline) {
                grow();
            } else {
                // Approach the limit at which the latency reaches the tolerance in small steps.
                mLimit = Math.min(mSlots, mLimit + 1);
            }
            return;
        }
        // Little's law gives the mean concurrency during this window. The number of requests in
        // flight at each completion would overestimate it while the load rises.
        double concurrency = mWindow.count() * latency / Math.max(1, nowNanos - mWindowStart);
        if (reductionHadNoEffect(latency, concurrency)) {
            mBaseline = latency;
            mConcurrencyBeforeReduction = 0;
            grow();
            return;
        }
        reduce(LATENCY_TOLERANCE * mBaseline / lowerBound, latency, concurrency, nowNanos);
    }

    /**
     * Reports whether the latency stayed high although the concurrency fell. The server is then not
     * slow because of its load, and a lower limit would only reduce its throughput.
     */
    private boolean reductionHadNoEffect(double latency, double concurrency) {
        boolean lowerConcurrency =
                concurrency <= REDUCED_CONCURRENCY_RATIO * mConcurrencyBeforeReduction
                        || mLimit <= minLimit();
        return mConcurrencyBeforeReduction > 0
                && lowerConcurrency
                && latency >= UNCHANGED_LATENCY_RATIO * mLatencyBeforeReduction;
    }

    private void reduce(double gradient, double latency, double concurrency, long nowNanos) {
        if (concurrency > mConcurrencyBeforeReduction) {
            mConcurrencyBeforeReduction = concurrency;
            mLatencyBeforeReduction = latency;
        }
        mLimit = Math.max(minLimit(), mLimit * Math.max(MIN_GRADIENT, gradient));
        mStep = Math.max(1, mLimit / 2);
        // Requests that were started under the old limit still complete during this time.
        mSettledNanos = nowNanos + Math.min(MAX_SETTLE_NANOS, (long) latency);
    }

    private void grow() {
        mLimit = Math.min(mSlots, mLimit + mStep);
        mStep = Math.min(mSlots, mStep * 2);
    }

    private void adaptBaseline() {
        if (mWindow.count() < MIN_BASELINE_SAMPLES) {
            return;
        }
        double latency = mWindow.mean();
        if (latency + BASELINE_ERRORS * mWindow.standardError() < mBaseline) {
            mBaseline = latency;
            return;
        }
        if (latency <= GROWTH_TOLERANCE * mBaseline) {
            double rate = latency < mBaseline ? BASELINE_FALL_FACTOR : BASELINE_RISE_FACTOR;
            mBaseline += rate * (latency - mBaseline);
        }
    }

    private void restartWindow(long nowNanos) {
        mWindow.clear();
        mWindowStart = nowNanos;
    }

    private double minLimit() {
        return Math.max(1, Math.floor(mSlots * MIN_LIMIT_RATIO));
    }
}
