package io.azurestage.core.routing;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * What this node knows about one incarnation. Times are nanoseconds since the start of the router.
 * The fields of ejection are written under the lock of the {@link ServiceState}.
 */
final class Server {
    /** The load beyond which requests start to wait; it is below 1 because arrivals vary. */
    private static final double KNEE = 0.8;

    private static final double MAX_LOAD = 2;
    private static final double NEUTRAL_LOAD = 0.5;
    private static final double LOAD_PART = 0.5;
    private static final double MIN_WARMTH = 0.1;
    private static final double MAX_FAULTS = 0.95;
    private static final long LOAD_LIFE_NANOS = Duration.ofSeconds(5).toNanos();

    private record Reading(double value, long at) {}

    final AtomicInteger mInFlight = new AtomicInteger();
    final FailureWindow mFailures = new FailureWindow();
    volatile Endpoint mEndpoint;
    volatile boolean mEjected;
    volatile boolean mRefusesAsDraining;
    long mEjectedUntil;
    long mRestoredAt;
    int mEjections;

    private final long mBorn;
    private final long mWarmUp;
    private volatile Reading mLoad = new Reading(NEUTRAL_LOAD, 0);
    private volatile Reading mFaults = new Reading(0, 0);

    /**
     * Creates the state of a server that was not known before.
     *
     * @param age age at first sight; from then on it grows by the local clock, so that a wrong
     *     clock delays full load by one warm-up at most
     */
    Server(Endpoint e, Duration age, Duration warmUp, long now) {
        mEndpoint = e;
        mWarmUp = warmUp.toNanos();
        mBorn = now - Math.max(0, Math.min(age.toMillis(), warmUp.toMillis())) * 1_000_000;
    }

    void reportFaults(double rate, long now) {
        mFaults = new Reading(Math.max(0, Math.min(MAX_FAULTS, rate)), now);
    }

    /** Attempts that fail on average before one at this server does not. */
    double failedAttempts(long now) {
        double rate = faults(now);
        return rate / (1 - rate);
    }

    boolean isOpen() {
        return mEndpoint.state() != Endpoint.State.DRAINING && !mRefusesAsDraining;
    }

    void report(double load, long now) {
        mLoad = new Reading(Math.min(load, MAX_LOAD), now);
    }

    /** A refusal is this node's own evidence that the server has no free slot. */
    void refused(long now) {
        mLoad = new Reading(MAX_LOAD, now);
    }

    /**
     * Returns how strongly the server is preferred among others that cost the same to reach. The
     * cube makes differences of the own in-flight count decide. The reported load moves the weight
     * by a factor of 3.4 at most, which bounds what a false report can attract or divert.
     */
    double weight(double meanSlots, long now) {
        double slots = slots(now);
        double loadFactor = 1 + LOAD_PART * Math.min(1, load(now));
        double pressure = (1 + mInFlight.get() * meanSlots / slots) * loadFactor;
        double good = 1 - faults(now);
        return slots * good * good * good * good / (pressure * pressure * pressure);
    }

    /**
     * Returns the expected wait for a slot, as a multiple of the service's latency: a queue as long
     * as the server has slots takes one latency to drain.
     */
    double wait(boolean trustLoad, long now) {
        double own = mInFlight.get() / slots(now);
        double occupied = trustLoad ? Math.max(own, load(now)) : own;
        return Math.max(0, occupied - KNEE);
    }

    private double faults(long now) {
        Reading f = mFaults;
        return f.value() * Math.max(0, 1 - (double) (now - f.at()) / LOAD_LIFE_NANOS);
    }

    private double slots(long now) {
        double warmth = mWarmUp == 0 ? 1 : (double) (now - mBorn) / mWarmUp;
        return Math.max(1, mEndpoint.slots()) * Math.max(MIN_WARMTH, Math.min(1, warmth));
    }

    /** Ages the last report towards a neutral value, so that a server is never judged for long. */
    private double load(long now) {
        Reading l = mLoad;
        double fresh = Math.max(0, 1 - (double) (now - l.at()) / LOAD_LIFE_NANOS);
        return NEUTRAL_LOAD + (l.value() - NEUTRAL_LOAD) * fresh;
    }
}
