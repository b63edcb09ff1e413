package io.azurestage.core.admission;

import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;

/**
 * Computes which part of the requests for a server with a rate limit should be placed on other
 * servers. All nodes apply the same fraction to the requests that they would place on this server,
 * so no node needs to know how many others there are. Not thread-safe.
 */
final class Diversion {
    private static final long WINDOW_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
    private static final double SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Ratio of the limit that arrivals are steered to, so that no queue stands. */
    private static final double TARGET_RATIO = 0.95;

    private static final double RATE_SMOOTHING = 0.3;

    /** Exponent of the correction per window; lower values react to less noise. */
    private static final double GAIN = 0.3;

    /** Lower bound that keeps some requests, and so reports, flowing. */
    private static final double MIN_KEPT = 0.02;

    private double mKept = 1;
    private double mPerSecond;
    private int mArrivals;
    private boolean mLimited;
    private long mWindowStartNanos;

    Diversion(long nowNanos) {
        mWindowStartNanos = nowNanos;
    }

    void arrived() {
        mArrivals++;
    }

    /** Returns the fraction of the requests to place on other servers, in [0,1). */
    double fraction() {
        return 1 - mKept;
    }

    /** Adapts the fraction if a window has ended. */
    void tick(OptionalDouble limitPerSecond, long nowNanos) {
        long elapsedNanos = nowNanos - mWindowStartNanos;
        if (elapsedNanos < WINDOW_NANOS) {
            return;
        }
        double perSecond = mArrivals * SECOND_NANOS / elapsedNanos;
        mWindowStartNanos = nowNanos;
        mArrivals = 0;
        mPerSecond += RATE_SMOOTHING * (perSecond - mPerSecond);
        if (limitPerSecond.isEmpty()) {
            mKept = 1;
            mLimited = false;
            return;
        }
        double target = limitPerSecond.getAsDouble() * TARGET_RATIO;
        double excess = Math.max(mPerSecond, target / 2) / target;
        double correction = mLimited ? Math.pow(excess, -GAIN) : Math.min(1, 1 / excess);
        if (!mLimited) {
            mLimited = true;
            mPerSecond = Math.min(mPerSecond, target);
        }
        mKept = Math.max(MIN_KEPT, Math.min(1, mKept * correction));
    }
}
