package io.azurestage.core.once;

/** Outcome of claiming a ticket. Only {@link First} permits running the request. */
public sealed interface Claim {

    /** The ticket was never used: run the request and report the answer. */
    record First() implements Claim {}

    /** The request runs already; the subscriber that was passed in hears its end. */
    record InProgress() implements Claim {}

    /**
     * The request has run.
     *
     * @param answer the answer to replay
     */
    record Done(StoredAnswer answer) implements Claim {}

    /** The request was refused as not run, and never runs later under this ticket. */
    record Sealed() implements Claim {}

    /**
     * This incarnation cannot vouch for the ticket. Nothing is run.
     *
     * @param reason why
     */
    record Unknown(String reason) implements Claim {}

    /** The ticket was used for another request. Nothing is run. */
    record Mismatch() implements Claim {}

    /** The registry has no room for another ticket. Nothing is run. */
    record Full() implements Claim {}
}
