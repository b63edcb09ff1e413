package io.azurestage.bench.standin;

/** Fault injection settings of one stand-in backend. Thread-safe; all faults are off initially. */
public final class Faults {
    private volatile double mSlowFactor = 1;
    private volatile double mTruncatedFraction;
    private volatile double mDroppedFraction;
    private volatile boolean mRefuseRequests;
    private volatile boolean mInvertHealth;

    Faults() {}

    /**
     * Multiplies the service time.
     *
     * @param factor multiplier; 1 is the normal service time
     * @return this object
     */
    public Faults slowDown(double factor) {
        mSlowFactor = factor;
        return this;
    }

    /**
     * Truncates response bodies after the work has been done.
     *
     * @param fraction fraction of the responses, from 0 to 1
     * @return this object
     */
    public Faults truncate(double fraction) {
        mTruncatedFraction = fraction;
        return this;
    }

    /**
     * Closes the connection instead of sending a response, after the work has been done.
     *
     * @param fraction fraction of the responses, from 0 to 1
     * @return this object
     */
    public Faults dropResponses(double fraction) {
        mDroppedFraction = fraction;
        return this;
    }

    /**
     * Refuses all requests with status 503 before any work is done.
     *
     * @param on whether the fault is on
     * @return this object
     */
    public Faults refuseRequests(boolean on) {
        mRefuseRequests = on;
        return this;
    }

    /**
     * Makes the health endpoint report the opposite of the actual state.
     *
     * @param on whether the fault is on
     * @return this object
     */
    public Faults invertHealth(boolean on) {
        mInvertHealth = on;
        return this;
    }

    double slowFactor() {
        return mSlowFactor;
    }

    double truncate() {
        return mTruncatedFraction;
    }

    double dropResponses() {
        return mDroppedFraction;
    }

    boolean refuseRequests() {
        return mRefuseRequests;
    }

    boolean invertHealth() {
        return mInvertHealth;
    }
}
