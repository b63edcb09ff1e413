package io.azurestage.bench.standin;

/** Faults that a {@link StandInStore} can inject, until disabled or for a number of calls. */
public enum StandInStoreFault {
    /** The port is closed: new connections are refused and open ones closed. */
    REFUSED,
    /** Connections are accepted and closed at the first request. */
    DROPPED,
    /** Every call is delayed by the configured time before it takes effect. */
    SLOW,
    /** A write takes effect, then the connection is closed without a response. */
    APPLIED_ANSWER_LOST,
    /** A write takes no effect and the connection is closed without a response. */
    NOT_APPLIED_ANSWER_LOST,
    /** A write takes effect, but the JSON of the response is truncated in the middle. */
    APPLIED_ANSWER_GARBLED,
    /** Every call is answered with status 503 and takes no effect. */
    ERROR_STATUS,
    /** The connections of new watches are closed immediately. */
    WATCH_REFUSED
}
