package io.azurestage.core.retry;

import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Retries of an {@link Allowance} that are passed on to one attempt of a sub-call. If the answer is
 * lost, they are discarded, because the attempt may still be using them. Thread-safe.
 */
public final class RetryReservation {
    private final Allowance mAllowance;
    private final int mRetries;
    private final AtomicBoolean mReturned = new AtomicBoolean();

    RetryReservation(Allowance allowance, int retries) {
        mAllowance = allowance;
        mRetries = retries;
    }

    /**
     * Returns the number of retries that were passed on.
     *
     * @return number of retries that the attempt may use
     */
    public int retries() {
        return mRetries;
    }

    /**
     * Returns unused retries to the allowance. Only the first call counts, and it returns at most
     * the number passed on, so that a duplicate or wrong answer creates no retries.
     *
     * @param unused number of retries that the answer reports as unused
     */
    public void returnUnused(int unused) {
        if (mReturned.compareAndSet(false, true)) {
            mAllowance.returnUnused(Math.min(unused, mRetries));
        }
    }
}
