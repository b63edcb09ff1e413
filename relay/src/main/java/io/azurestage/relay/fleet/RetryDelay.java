package io.azurestage.relay.fleet;

import java.util.random.RandomGenerator;

/**
 * Delays between calls to a store that refuses them: they double up to a bound, since each refused
 * call has its price, and are drawn at random, so that a fleet does not come back at once.
 *
 * <p>Load pattern: the store turns a third of the nodes away for ten seconds and more.
 */
final class RetryDelay {
    /** Short enough for a pause that nobody notices. */
    private static final long FIRST_MILLIS = 200;

    /** Entries have to be back within two seconds of the store's return. */
    static final long LONGEST_MILLIS = 1_500;

    private final RandomGenerator mRandom;
    private long mNext = FIRST_MILLIS;

    /**
     * Creates the delays of one kind of call.
     *
     * @param random source of random choices
     */
    RetryDelay(RandomGenerator random) {
        mRandom = random;
    }

    /** Returns how long to wait after one more failure, in milliseconds. */
    long next() {
        long most = mNext;
        mNext = Math.min(LONGEST_MILLIS, 2 * mNext);
        return most / 2 + mRandom.nextLong(most / 2) + 1;
    }

    /** Takes note of a success. */
    void reset() {
        mNext = FIRST_MILLIS;
    }
}
