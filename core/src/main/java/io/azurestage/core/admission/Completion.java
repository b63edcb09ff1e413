package io.azurestage.core.admission;

/**
 * Outcome of an admitted request.
 *
 * @param totalNanos time for which the request held its slot
 * @param ownNanos time in the server, excluding the time spent waiting for calls of its own
 * @param outcome result of the backend server
 */
public record Completion(long totalNanos, long ownNanos, Outcome outcome) {

    /** Result of the backend server. */
    public enum Outcome {
        /** The server returned a complete response. */
        ANSWERED,
        /** The server rejected the request because it is overloaded. */
        SERVER_REFUSED,
        /** The server failed, or its response was truncated. */
        FAILED,
        /** The caller disconnected, so the latency is not meaningful. */
        CANCELLED,
        /** This node paused while the request ran, so the latency is not that of the server. */
        PAUSED
    }
}
