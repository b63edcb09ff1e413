package io.azurestage.bench.standin;

/**
 * Switches for the faults of one stand-in backend. Thread-safe; every fault starts switched off.
 */
public final class Faults {
    private volatile double mSlowFactor = 1;
    private volatile double mTruncate;
    private volatile double mLose;
    private volatile boolean mRefuse;
    private volatile boolean mHealthLies;

    Faults() {}

    /**
     * Multiplies the service time.
     *
     * @param factor 1 for normal speed
     * @return this object
     */
    public Faults slow(double factor) {
        mSlowFactor = factor;
        return this;
    }

    /**
     * Truncates answers after the work has been done.
     *
     * @param fraction fraction of the answers, from 0 to 1
     * @return this object
     */
    public Faults truncate(double fraction) {
        mTruncate = fraction;
        return this;
    }

    /**
     * Closes the connection instead of answering, after the work has been done.
     *
     * @param fraction fraction of the answers, from 0 to 1
     * @return this object
     */
    public Faults lose(double fraction) {
        mLose = fraction;
        return this;
    }

    /**
     * Refuses all work with status 503 before it runs.
     *
     * @param on whether the fault is on
     * @return this object
     */
    public Faults refuse(boolean on) {
        mRefuse = on;
        return this;
    }

    /**
     * Makes the health endpoint report the opposite of the truth.
     *
     * @param on whether the fault is on
     * @return this object
     */
    public Faults healthLies(boolean on) {
        mHealthLies = on;
        return this;
    }

    double slowFactor() {
        return mSlowFactor;
    }

    double truncate() {
        return mTruncate;
    }

    double lose() {
        return mLose;
    }

    boolean refuse() {
        return mRefuse;
    }

    boolean healthLies() {
        return mHealthLies;
    }
}
