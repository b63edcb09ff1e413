package io.azurestage.bench;

/** Outcome of a request as its caller sees it. */
enum Verdict {
    /** A complete response to the caller's own request. */
    WHOLE,
    /** Refused, and certainly not executed. */
    REFUSED,
    /** Refused or lost, and possibly executed. */
    UNKNOWN,
    /** Error status from a service. */
    ERROR,
    /** A response that was reported as complete but lacks a part. */
    PARTIAL,
    /** A response that was reported as complete but belongs to another request. */
    MISDELIVERED
}
