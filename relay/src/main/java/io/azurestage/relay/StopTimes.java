package io.azurestage.relay;

import java.time.Duration;

/**
 * The steps of a stop, as times after its start. A node takes all requests at first, since callers
 * leave only when readiness checks have failed; then those whose deadline lies before its end; then
 * none. Immutable.
 *
 * @param anyDeadline until when requests are taken whatever their deadline
 * @param close when the port is closed and no more requests are taken
 * @param exit when the process ends even if requests are still running
 */
record StopTimes(Duration anyDeadline, Duration close, Duration exit) {
    /** Two readiness checks have failed by then, a second apart, and callers have left. */
    private static final Duration CALLERS_LEAVE = Duration.ofSeconds(3);

    private static final double CLOSE_FRACTION = 0.5;

    /** Time to end the process before it is killed. */
    private static final Duration EXIT_MARGIN = Duration.ofMillis(400);

    /** Largest fraction of the stop time that the margin may take. */
    private static final double MAX_MARGIN_FRACTION = 0.1;

    /** Time to write an answer that ends at its deadline. */
    private static final Duration ANSWER_TIME = Duration.ofMillis(100);

    /**
     * Returns the steps for a stop time.
     *
     * @param stopTime time between SIGTERM and SIGKILL
     * @return the steps
     */
    static StopTimes of(Duration stopTime) {
        Duration close = fraction(stopTime, CLOSE_FRACTION);
        Duration margin = min(EXIT_MARGIN, fraction(stopTime, MAX_MARGIN_FRACTION));
        return new StopTimes(min(CALLERS_LEAVE, close), close, stopTime.minus(margin));
    }

    /** Returns the latest deadline of requests that are taken after those of any deadline. */
    Duration latestDeadline() {
        return exit.minus(ANSWER_TIME);
    }

    private static Duration fraction(Duration d, double fraction) {
        return Duration.ofNanos((long) (d.toNanos() * fraction));
    }

    private static Duration min(Duration a, Duration b) {
        return a.compareTo(b) < 0 ? a : b;
    }
}
