package io.azurestage.core.routing;

import io.azurestage.core.time.TimeSource;
import java.time.Duration;

/**
 * Part of its work that a backend server fails or turns away, as the node beside it sees. Answers a
 * server that is well by its own word and fails a part of its requests: callers see few of them
 * each, the node sees all.
 */
public final class FaultRate {
    /** Time in which what was seen loses most of its weight, so that a server may come back. */
    private static final double FADE_NANOS = Duration.ofMillis(1_500).toNanos();

    /** Good requests assumed, so that a few failures alone say little. */
    private static final double PRIOR = 10;

    private final TimeSource mTime;
    private double mAll;
    private double mBad;
    private long mAt;

    /**
     * Creates a rate of 0.
     *
     * @param time source of time
     */
    public FaultRate(TimeSource time) {
        mTime = time;
        mAt = time.nanos();
    }

    /**
     * Notes that a request has ended at the server.
     *
     * @param failed whether the server failed it or turned it away
     */
    public void ended(boolean failed) {
        fade();
        mAll++;
        mBad += failed ? 1 : 0;
    }

    /**
     * Returns the present rate.
     *
     * @return part of the requests, in [0,1)
     */
    public double rate() {
        fade();
        return mBad / (mAll + PRIOR);
    }

    private void fade() {
        long now = mTime.nanos();
        double keep = Math.exp((mAt - now) / FADE_NANOS);
        mAt = now;
        mAll *= keep;
        mBad *= keep;
    }
}
