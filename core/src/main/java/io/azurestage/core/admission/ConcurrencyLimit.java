package io.azurestage.core.admission;

import java.util.concurrent.TimeUnit;

/**
 * Concurrency limit of one server. It follows the gradient between the server's usual own latency
 * and its present one, and the server's refusals.
 */
final class ConcurrencyLimit {
    private static final double TOLERANCE = 2;
    private static final double GROWTH_TOLERANCE = 1.2;
    private static final double MIN_GRADIENT = 0.5;
    private static final double MIN_PART = 0.1;
    private static final double CUT_ERRORS = 2;
    private static final double BASELINE_ERRORS = 3;
    private static final double BASELINE_RISE = 0.01;
    private static final double BASELINE_FALL = 0.1;
    private static final double LESS_WORK = 0.6;
    private static final double NO_EFFECT = 0.8;
    private static final int MIN_SAMPLES = 10;
    private static final int ENOUGH_SAMPLES = 50;
    private static final int SAMPLES_PER_SLOT = 2;

    /** In the first window after a start, only the fastest answers have arrived. */
    private static final int LEARNING_WINDOWS = 3;

    private static final int MIN_BASELINE_SAMPLES = 10;
    private static final long MAX_WINDOW_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long MAX_SETTLE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private final int mSlots;
    private final RunningMean mWindow = new RunningMean();
    private final RunningMean mLearnt = new RunningMean();
    private int mLearntWindows;
    private double mLimit;
    private double mStep = 1;
    private double mBaseline;
    private double mWindowLimit;
    private boolean mRefused;
    private long mWindowStart;
    private long mSettled;
    private double mWorkBeforeCut;
    private double mLatencyBeforeCut;

    ConcurrencyLimit(int slots, long nowNanos) {
        mSlots = slots;
        mLimit = slots;
        mWindowLimit = slots;
        mWindowStart = nowNanos;
        mSettled = nowNanos;
    }

    int limit() {
        return (int) mLimit;
    }

    /**
     * Takes note of the end of a request.
     *
     * @param c how it ended
     * @param othersInFlight requests that the server runs besides this one
     */
    void completed(Completion c, int othersInFlight) {
        switch (c.outcome()) {
            case ANSWERED -> mWindow.add(Math.max(1, c.ownNanos()));
            case SERVER_REFUSED -> refused(othersInFlight);
            // A failure is often faster than an answer, and a cancelled request says nothing.
            default -> {}
        }
    }

    /** Adapts the limit to the last window. Call every 100 ms. */
    void roll(long nowNanos) {
        mWindowLimit = mLimit;
        if (mRefused) {
            mRefused = false;
            restart(nowNanos);
            return;
        }
        if (nowNanos - mSettled < 0) {
            restart(nowNanos);
            return;
        }
        double needed = Math.max(MIN_SAMPLES, Math.min(ENOUGH_SAMPLES, SAMPLES_PER_SLOT * mLimit));
        if (mWindow.count() < needed && nowNanos - mWindowStart < MAX_WINDOW_NANOS) {
            return;
        }
        if (mWindow.count() == 0) {
            grow();
        } else {
            follow(nowNanos);
        }
        restart(nowNanos);
    }

    /**
     * A server that refuses can run what it runs now and no more. One window at most halves the
     * limit, so that a single refusal under light load costs little.
     */
    private void refused(int othersInFlight) {
        double proven = Math.max(othersInFlight, mWindowLimit * MIN_GRADIENT);
        mLimit = Math.max(minLimit(), Math.min(mLimit, proven));
        mStep = 1;
        mRefused = true;
    }

    private void follow(long nowNanos) {
        if (mLearntWindows < LEARNING_WINDOWS) {
            mLearntWindows++;
            mLearnt.merge(mWindow);
            mBaseline = mLearnt.mean();
        }
        double latency = mWindow.mean();
        double low = latency - CUT_ERRORS * mWindow.standardError();
        if (low <= TOLERANCE * mBaseline) {
            mWorkBeforeCut = 0;
            adaptBaseline();
            if (latency <= GROWTH_TOLERANCE * mBaseline) {
                grow();
            } else {
                // Small steps find the limit at which the latency reaches the tolerance.
                mLimit = Math.min(mSlots, mLimit + 1);
            }
            return;
        }
        // Little's law gives the work in progress that belongs to this latency. The requests in
        // progress at the end of each answer would be too many while the load rises.
        double work = mWindow.count() * latency / Math.max(1, nowNanos - mWindowStart);
        if (cutHadNoEffect(latency, work)) {
            mBaseline = latency;
            mWorkBeforeCut = 0;
            grow();
            return;
        }
        cut(TOLERANCE * mBaseline / low, latency, work, nowNanos);
    }

    /**
     * A server that is as slow with little work as with much is not slow because of its load; a
     * lower limit would only lower its throughput.
     */
    private boolean cutHadNoEffect(double latency, double work) {
        boolean lessWork = work <= LESS_WORK * mWorkBeforeCut || mLimit <= minLimit();
        return mWorkBeforeCut > 0 && lessWork && latency >= NO_EFFECT * mLatencyBeforeCut;
    }

    private void cut(double gradient, double latency, double work, long nowNanos) {
        if (work > mWorkBeforeCut) {
            mWorkBeforeCut = work;
            mLatencyBeforeCut = latency;
        }
        mLimit = Math.max(minLimit(), mLimit * Math.max(MIN_GRADIENT, gradient));
        mStep = Math.max(1, mLimit / 2);
        // Requests that started under the old limit still end during this time.
        mSettled = nowNanos + Math.min(MAX_SETTLE_NANOS, (long) latency);
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
            double rate = latency < mBaseline ? BASELINE_FALL : BASELINE_RISE;
            mBaseline += rate * (latency - mBaseline);
        }
    }

    private void restart(long nowNanos) {
        mWindow.clear();
        mWindowStart = nowNanos;
    }

    private double minLimit() {
        return Math.max(1, Math.floor(mSlots * MIN_PART));
    }
}
