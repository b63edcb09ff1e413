package io.azurestage.bench.standin;

/** Allows retries up to a fraction of the calls. Thread-safe. */
final class RetryBudget {
    /** Retries that may follow each other after a quiet time. */
    private static final double BURST = 10;

    private final double mFraction;
    private double mTokens = BURST;

    RetryBudget(double fraction) {
        mFraction = fraction;
    }

    synchronized void called() {
        mTokens = Math.min(BURST, mTokens + mFraction);
    }

    /** A fraction of 1 or more means that every retry is allowed. */
    synchronized boolean tryRetry() {
        if (mFraction >= 1) {
            return true;
        }
        if (mTokens < 1) {
            return false;
        }
        mTokens--;
        return true;
    }
}
