package io.azurestage.core.routing;

/** Result of an attempt at a backend server, as reported to routing. */
public enum AttemptResult {
    /** A complete answer was received. */
    ANSWERED,
    /** The node refused the request before it ran. */
    REFUSED,
    /** The node is draining and refused the request before it ran. */
    DRAINING,
    /** The connection failed, the attempt timed out, or the answer was malformed or cut off. */
    FAILED,
    /** The caller cancelled the request. */
    CANCELLED
}
