package io.azurestage.core.once;

/** Result of claiming a ticket. Only {@link First} permits running the request. */
public sealed interface Claim {

    /** The ticket was not used before: run the request and report its end. */
    record First() implements Claim {}

    /** The request is already running; the subscriber that was passed in receives its answer. */
    record InProgress() implements Claim {}

    /**
     * The request has run.
     *
     * @param answer the answer to replay
     */
    record Done(StoredAnswer answer) implements Claim {}

    /** The request was refused before it ran, and never runs under this ticket. */
    record Sealed() implements Claim {}

    /**
     * This incarnation cannot tell whether the request has run, or cannot replay its answer. The
     * request must not be run.
     *
     * @param reason explanation for the caller
     */
    record Unknown(String reason) implements Claim {}

    /** The ticket was used for another request. The request must not be run. */
    record Mismatch() implements Claim {}

    /** The registry is full. The request must not be run. */
    record Full() implements Claim {}
}
