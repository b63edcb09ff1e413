package io.azurestage.relay.http;

import java.util.concurrent.TimeUnit;

/**
 * Spreads the time of the event loop over connections with incomplete bodies, because the time that
 * a body takes depends on its chunks more than on its bytes. A connection rests after each slice of
 * time; the more bodies there are, the longer, so that many of them take about half of it. Confined
 * to the event loop.
 */
final class ReadPacer {
    /** Time after which other connections have their turn. */
    private static final long SLICE_NANOS = TimeUnit.MILLISECONDS.toNanos(2);

    private static final long MAX_REST_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Rest for each other body, as a multiple of the slice. */
    private static final int REST_FACTOR = 2;

    private int mBodies;

    void bodyStarted() {
        mBodies++;
    }

    void bodyEnded() {
        mBodies--;
    }

    /**
     * Returns how long a connection rests.
     *
     * @param spentNanos time spent on its body since its last rest
     * @return the rest in nanoseconds, which can be 0, or -1 if it may go on
     */
    long restNanos(long spentNanos) {
        if (spentNanos < SLICE_NANOS) {
            return -1;
        }
        return Math.min(MAX_REST_NANOS, spentNanos * REST_FACTOR * Math.max(0, mBodies - 1));
    }
}
