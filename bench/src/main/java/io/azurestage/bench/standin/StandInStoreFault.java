package io.azurestage.bench.standin;

/** Faults of {@link StandInStore} that stay on until they are switched off or used up. */
public enum StandInStoreFault {
    /** The port is closed: connections are refused and open ones are cut. */
    REFUSED,
    /** Connections are accepted and cut at the first request. */
    DROPPED,
    /** Every answer waits for the set delay; the call takes effect after the delay. */
    SLOW,
    /** A write takes effect, then the connection is cut. */
    APPLIED_ANSWER_LOST,
    /** A write takes no effect and the connection is cut. */
    NOT_APPLIED_ANSWER_LOST,
    /** A write takes effect, but the answer is cut off in the middle of its JSON. */
    APPLIED_ANSWER_GARBLED,
    /** Every call is answered with status 503 and takes no effect. */
    ERROR_STATUS,
    /** New watches are cut at once. */
    WATCH_REFUSED
}
