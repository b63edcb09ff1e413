package io.azurestage.core.admission;

/**
 * How an admitted request ended.
 *
 * @param totalNanos time that it held its slot
 * @param ownNanos time in the server without waiting for sub-calls
 * @param outcome what the server did
 */
public record Completion(long totalNanos, long ownNanos, Outcome outcome) {

    /** What the backend server did. */
    public enum Outcome {
        /** It answered. */
        ANSWERED,
        /** It refused because it is overloaded. */
        SERVER_REFUSED,
        /** It failed, or its answer broke off. */
        FAILED,
        /** The caller went away, so its latency says nothing. */
        CANCELLED
    }
}
