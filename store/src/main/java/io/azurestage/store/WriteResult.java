package io.azurestage.store;

/** Outcome of a compare-and-swap. */
public sealed interface WriteResult {

    /**
     * The write took effect.
     *
     * @param revision revision of the write
     */
    record Applied(long revision) implements WriteResult {}

    /** The key had another revision; nothing was written. */
    record Conflict() implements WriteResult {}

    /** The lease of the key has ended; nothing was written. */
    record LeaseLapsed() implements WriteResult {}

    /**
     * The answer was lost: the write may have taken effect or may still take effect.
     *
     * @param reason what happened
     */
    record MaybeApplied(String reason) implements WriteResult {}

    /**
     * The service was not reached; nothing was written.
     *
     * @param reason what happened
     */
    record Unavailable(String reason) implements WriteResult {}
}
