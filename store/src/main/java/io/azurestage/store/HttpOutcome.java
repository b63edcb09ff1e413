package io.azurestage.store;

/** Outcome of one HTTP call. */
sealed interface HttpOutcome {

    /** The service answered with status 200. */
    record Answered(byte[] body) implements HttpOutcome {}

    /** The request may have reached the service, but no usable answer came back. */
    record Lost(String reason) implements HttpOutcome {}

    /** No byte of the request was sent. */
    record NotSent(String reason) implements HttpOutcome {}
}
