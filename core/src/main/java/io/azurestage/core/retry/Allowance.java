package io.azurestage.core.retry;

/**
 * The retries that a request in progress at one node may still use. Retries passed on to sub-calls
 * are deducted, so that the total over the call chain never exceeds the granted number.
 * Thread-safe.
 */
public final class Allowance {
    private int mLeft;
    private int mOutstanding;
    private boolean mClosed;

    /**
     * Creates an allowance.
     *
     * @param granted number of retries granted by the upstream hop, 0 or more
     */
    public Allowance(int granted) {
        if (granted < 0) {
            throw new IllegalArgumentException("granted must be 0 or more, not " + granted);
        }
        mLeft = granted;
    }

    /**
     * Takes one retry from the allowance.
     *
     * @return true if a retry was available
     */
    public synchronized boolean tryRetry() {
        if (mClosed || mLeft == 0) {
            return false;
        }
        mLeft--;
        return true;
    }

    /**
     * Returns the number of retries left.
     *
     * @return the number of retries, 0 if the allowance is closed
     */
    public synchronized int left() {
        return mLeft;
    }

    /**
     * Takes half of what is left, rounded up, for one attempt of a sub-call.
     *
     * @return the retries passed on; the unused ones can be returned at most once
     */
    public RetryReservation reserve() {
        return new RetryReservation(this, takeHalf());
    }

    /**
     * Takes half of what is left, rounded up, for a sub-call. Prefer {@link #reserve()}: it also
     * guards against a duplicate answer that returns retries of another sub-call.
     *
     * @return number of retries that the sub-call may use
     */
    public synchronized int takeHalf() {
        if (mClosed) {
            return 0;
        }
        int part = (mLeft + 1) / 2;
        mLeft -= part;
        mOutstanding += part;
        return part;
    }

    /**
     * Returns unused retries of a sub-call to the allowance, at most as many as are outstanding.
     *
     * @param unused number of unused retries; 0 or less has no effect
     */
    public synchronized void returnUnused(int unused) {
        if (mClosed || unused <= 0) {
            return;
        }
        int part = Math.min(unused, mOutstanding);
        mOutstanding -= part;
        mLeft += part;
    }

    /**
     * Closes the allowance. Retries returned later are discarded.
     *
     * @return number of retries left, to be returned to the upstream hop; 0 if already closed
     */
    public synchronized int close() {
        int left = mClosed ? 0 : mLeft;
        mClosed = true;
        mLeft = 0;
        return left;
    }
}
