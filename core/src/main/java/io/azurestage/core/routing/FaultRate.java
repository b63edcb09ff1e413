package io.azurestage.core.routing;

import io.azurestage.core.time.TimeSource;
import java.time.Duration;

/**
 * Exponentially decaying rate of the requests that a backend server fails or refuses, measured by
 * the node beside it. Detects a server that reports itself healthy but fails some of its requests:
 * each caller sees only a few of those requests, while the node sees all of them.
 */
public final class FaultRate {
    /** Time constant of the decay; past failures lose weight so that a server can recover. */
    private static final double DECAY_NANOS = Duration.ofMillis(1_500).toNanos();

    /** Successful requests assumed in addition, so that a few failures barely move the rate. */
    private static final double PRIOR_SUCCESSES = 10;

    private final TimeSource mTime;
    private double mRequests;
    private double mFailed;
    private long mDecayedAtNanos;

    /**
     * Creates a rate of 0.
     *
     * @param time source of time
     */
    public FaultRate(TimeSource time) {
        mTime = time;
        mDecayedAtNanos = time.nanos();
    }

    /**
     * Records a request that has ended at the server.
     *
     * @param failed whether the server failed or refused it
     */
    public void ended(boolean failed) {
        decay();
        mRequests++;
        mFailed += failed ? 1 : 0;
    }

    /**
     * Returns the current rate.
     *
     * @return fraction of the requests that failed or were refused, in [0,1)
     */
    public double rate() {
        decay();
        return mFailed / (mRequests + PRIOR_SUCCESSES);
    }

    private void decay() {
        long now = mTime.nanos();
        double keep = Math.exp((mDecayedAtNanos - now) / DECAY_NANOS);
        mDecayedAtNanos = now;
        mRequests *= keep;
        mFailed *= keep;
    }
}
