package io.azurestage.bench;

/** How a request ended for its caller. */
enum Verdict {
    /** A whole answer to the caller's own request. */
    WHOLE,
    /** A refusal that did not run. */
    REFUSED,
    /** A refusal or a loss that may have run. */
    UNKNOWN,
    /** An error status of a service. */
    ERROR,
    /** An answer that was reported as whole, but lacks a part. */
    PARTIAL,
    /** An answer that was reported as whole, but belongs to another request. */
    MISDELIVERED
}
