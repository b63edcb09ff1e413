package io.azurestage.bench.standin;

/** Token bucket that limits retries to a fraction of the calls. Thread-safe. */
final class RetryBudget {
    /** Capacity of the bucket: retries allowed in a row after a period without retries. */
    private static final double MAX_TOKENS = 10;

    private final double mTokensPerCall;
    private double mTokens = MAX_TOKENS;

    RetryBudget(double fraction) {
        mTokensPerCall = fraction;
    }

    synchronized void recordCall() {
        mTokens = Math.min(MAX_TOKENS, mTokens + mTokensPerCall);
    }

    /** Takes a token for one retry; always succeeds if the fraction is 1 or more. */
    synchronized boolean tryRetry() {
        if (mTokensPerCall >= 1) {
            return true;
        }
        if (mTokens < 1) {
            return false;
        }
        mTokens--;
        return true;
    }
}
