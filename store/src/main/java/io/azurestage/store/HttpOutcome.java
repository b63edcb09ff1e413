package io.azurestage.store;

/** Outcome of one HTTP call. */
sealed interface HttpOutcome {

    /** The service answered with status 200. */
    record Success(byte[] body) implements HttpOutcome {}

    /** The request may have been executed, but no response with status 200 was received. */
    record Indeterminate(String reason) implements HttpOutcome {}

    /** No byte of the request was sent, so it was not executed. */
    record NotSent(String reason) implements HttpOutcome {}
}
