package io.azurestage.core.retry;

import java.util.concurrent.atomic.AtomicBoolean;

/**
 * The part of an allowance that one attempt of a sub-call may use. If its answer is lost, the part
 * is forfeited: the attempt may still be using it. Thread-safe.
 */
public final class Loan {
    private final Allowance mFrom;
    private final int mRetries;
    private final AtomicBoolean mReturned = new AtomicBoolean();

    Loan(Allowance from, int retries) {
        mFrom = from;
        mRetries = retries;
    }

    /**
     * Returns the size of the loan.
     *
     * @return retries that the attempt may use
     */
    public int retries() {
        return mRetries;
    }

    /**
     * Takes back what the attempt reports as unused. Only the first report counts, and it never
     * returns more than was lent, so that a duplicate or wrong answer creates no retries.
     *
     * @param unused retries that the answer reports as unused
     */
    public void giveBack(int unused) {
        if (mReturned.compareAndSet(false, true)) {
            mFrom.giveBack(Math.min(unused, mRetries));
        }
    }
}
