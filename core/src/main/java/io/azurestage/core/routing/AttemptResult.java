package io.azurestage.core.routing;

/** How an attempt at a backend server ended, as far as routing is concerned. */
public enum AttemptResult {
    /** A whole answer came. */
    ANSWERED,
    /** The node refused the request without running it. */
    REFUSED,
    /** The node is draining and refused the request without running it. */
    DRAINING,
    /** No connection, no answer in time, or a broken answer. */
    FAILED,
    /** The caller went away. */
    CANCELLED
}
