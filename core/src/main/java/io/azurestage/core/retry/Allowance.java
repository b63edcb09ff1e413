package io.azurestage.core.retry;

/**
 * The retries that one request in progress at one node may still use. Lending to sub-calls takes
 * from it, so the sum over the chain never exceeds what was granted. Thread-safe.
 */
public final class Allowance {
    private int mLeft;
    private int mLent;
    private boolean mClosed;

    /**
     * Creates an allowance.
     *
     * @param granted retries granted by the hop above, 0 or more
     */
    public Allowance(int granted) {
        if (granted < 0) {
            throw new IllegalArgumentException("granted must be 0 or more, not " + granted);
        }
        mLeft = granted;
    }

    /**
     * Takes one retry.
     *
     * @return false if none is left
     */
    public synchronized boolean tryRetry() {
        if (mClosed || mLeft == 0) {
            return false;
        }
        mLeft--;
        return true;
    }

    /**
     * Returns how many retries are left.
     *
     * @return 0 if the allowance is closed
     */
    public synchronized int left() {
        return mLeft;
    }

    /**
     * Takes half of what is left, rounded up, for one attempt of a sub-call.
     *
     * @return the part lent, which takes back at most once what the attempt did not use
     */
    public Loan loan() {
        return new Loan(this, lend());
    }

    /**
     * Takes half of what is left, rounded up, for a sub-call. Prefer {@link #loan()}: it also
     * withstands a duplicate answer that gives back the part of another sub-call.
     *
     * @return retries that the sub-call may use
     */
    public synchronized int lend() {
        if (mClosed) {
            return 0;
        }
        int part = (mLeft + 1) / 2;
        mLeft -= part;
        mLent += part;
        return part;
    }

    /**
     * Takes back what a sub-call did not use, at most what is lent and has not come back.
     *
     * @param unused retries, 0 or more
     */
    public synchronized void giveBack(int unused) {
        if (mClosed || unused <= 0) {
            return;
        }
        int part = Math.min(unused, mLent);
        mLent -= part;
        mLeft += part;
    }

    /**
     * Ends the allowance. Whatever comes back later is forfeited.
     *
     * @return what is left, to be returned to the hop above; 0 if it was closed before
     */
    public synchronized int close() {
        int left = mClosed ? 0 : mLeft;
        mClosed = true;
        mLeft = 0;
        return left;
    }
}
