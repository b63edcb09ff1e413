package io.azurestage.core.routing;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Routing state of one server incarnation. Times are nanoseconds since the start of the router. The
 * ejection fields are written with the lock of the {@link ServiceState} held.
 */
final class Server {
    /** Load above which requests start to queue; below 1 because arrivals vary. */
    private static final double QUEUEING_LOAD = 0.8;

    private static final double MAX_LOAD = 2;
    private static final double NEUTRAL_LOAD = 0.5;
    private static final double LOAD_WEIGHT = 0.5;
    private static final double MIN_WARM_UP_FRACTION = 0.1;
    private static final double MAX_FAULT_RATE = 0.95;
    private static final long REPORT_LIFETIME_NANOS = Duration.ofSeconds(5).toNanos();

    private record Report(double value, long at) {}

    final AtomicInteger mInFlight = new AtomicInteger();
    final FailureWindow mFailures = new FailureWindow();
    volatile Endpoint mEndpoint;
    volatile boolean mEjected;
    volatile boolean mRefusesAsDraining;
    long mEjectedUntil;
    long mRestoredAt;
    int mEjections;

    private final long mStartedAt;
    private final long mWarmUpNanos;
    private volatile Report mLoad = new Report(NEUTRAL_LOAD, 0);
    private volatile Report mFaultRate = new Report(0, 0);
    private volatile Report mDiversion = new Report(0, 0);

    /**
     * Creates the state of a newly discovered server.
     *
     * @param age age when the server was discovered; it advances with the local clock afterwards,
     *     so that a wrong remote clock delays full load by one warm-up at most
     */
    Server(Endpoint e, Duration age, Duration warmUp, long now) {
        mEndpoint = e;
        mWarmUpNanos = warmUp.toNanos();
        mStartedAt = now - Math.max(0, Math.min(age.toMillis(), warmUp.toMillis())) * 1_000_000;
    }

    void reportFaultRate(double rate, long now) {
        mFaultRate = new Report(Math.max(0, Math.min(MAX_FAULT_RATE, rate)), now);
    }

    void reportDiversion(double fraction, long now) {
        mDiversion = new Report(Math.max(0, Math.min(1, fraction)), now);
    }

    /**
     * Returns the fraction of the requests to place on other servers. It decays without reports.
     */
    double diversion(long now) {
        return decayed(mDiversion, now);
    }

    /** Returns the expected number of failed attempts at this server before one succeeds. */
    double expectedFailedAttempts(long now) {
        double rate = faultRate(now);
        return rate / (1 - rate);
    }

    boolean acceptsNewWork() {
        return mEndpoint.state() != Endpoint.State.DRAINING && !mRefusesAsDraining;
    }

    void reportLoad(double load, long now) {
        mLoad = new Report(Math.min(load, MAX_LOAD), now);
    }

    /** Records a refusal as maximum load, because it shows that the server has no free slot. */
    void recordRefusal(long now) {
        mLoad = new Report(MAX_LOAD, now);
    }

    /**
     * Returns the weight of the server relative to others in the same tier. The cube makes
     * differences in this node's own in-flight count decisive. The reported load changes the weight
     * by a factor of 3.4 at most, which bounds the traffic that a false report can attract or
     * divert.
     */
    double weight(double meanSlots, long now) {
        double slots = slots(now);
        double loadFactor = 1 + LOAD_WEIGHT * Math.min(1, load(now));
        double pressure = (1 + mInFlight.get() * meanSlots / slots) * loadFactor;
        double successRate = 1 - faultRate(now);
        return slots
                * successRate
                * successRate
                * successRate
                * successRate
                / (pressure * pressure * pressure);
    }

    /**
     * Returns the expected wait for a slot as a multiple of the service's latency: a queue as long
     * as the server's number of slots takes one latency to drain.
     */
    double expectedWait(boolean useReportedLoad, long now) {
        double ownLoad = mInFlight.get() / slots(now);
        double occupied = useReportedLoad ? Math.max(ownLoad, load(now)) : ownLoad;
        return Math.max(0, occupied - QUEUEING_LOAD);
    }

    private double faultRate(long now) {
        return decayed(mFaultRate, now);
    }

    private static double decayed(Report r, long now) {
        return r.value() * Math.max(0, 1 - (double) (now - r.at()) / REPORT_LIFETIME_NANOS);
    }

    private double slots(long now) {
        double warmUpFraction = mWarmUpNanos == 0 ? 1 : (double) (now - mStartedAt) / mWarmUpNanos;
        return Math.max(1, mEndpoint.slots())
                * Math.max(MIN_WARM_UP_FRACTION, Math.min(1, warmUpFraction));
    }

    /** Decays the last report towards a neutral value, so that an old report loses its effect. */
    private double load(long now) {
        Report l = mLoad;
        double freshness = Math.max(0, 1 - (double) (now - l.at()) / REPORT_LIFETIME_NANOS);
        return NEUTRAL_LOAD + (l.value() - NEUTRAL_LOAD) * freshness;
    }
}
