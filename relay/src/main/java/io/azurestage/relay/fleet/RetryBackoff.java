package io.azurestage.relay.fleet;

import java.util.random.RandomGenerator;

/**
 * Exponential backoff with jitter for failed requests to the store. The delay doubles up to a
 * limit, because each rejected request still costs processing time, and it is randomised, so that
 * the nodes of a fleet do not all retry at once.
 *
 * <p>Load pattern: the store rejects a third of the nodes for ten seconds or longer.
 */
final class RetryBackoff {
    /** A single failed request is retried after at most this time, too short to be noticed. */
    private static final long INITIAL_DELAY_MILLIS = 200;

    /** Entries must be back in the store within two seconds of its recovery. */
    static final long MAX_DELAY_MILLIS = 1_500;

    private final RandomGenerator mRandom;
    private long mUpperBoundMillis = INITIAL_DELAY_MILLIS;

    /**
     * Creates a backoff that starts at the shortest delay.
     *
     * @param random source of the jitter
     */
    RetryBackoff(RandomGenerator random) {
        mRandom = random;
    }

    /** Returns the delay after another failure, in milliseconds. */
    long nextDelayMillis() {
        long upperBound = mUpperBoundMillis;
        mUpperBoundMillis = Math.min(MAX_DELAY_MILLIS, 2 * mUpperBoundMillis);
        return upperBound / 2 + mRandom.nextLong(upperBound / 2) + 1;
    }

    /** Resets the delay after a successful request. */
    void reset() {
        mUpperBoundMillis = INITIAL_DELAY_MILLIS;
    }
}
