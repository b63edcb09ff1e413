package io.azurestage.store;

/** Outcome of a compare-and-swap. */
public sealed interface WriteResult {

    /**
     * The write took effect.
     *
     * @param revision revision of the write
     */
    record Applied(long revision) implements WriteResult {}

    /** The key had another revision than expected; nothing was written. */
    record Conflict() implements WriteResult {}

    /** The lease has expired; nothing was written. */
    record LeaseLapsed() implements WriteResult {}

    /**
     * The response was lost: the write may have taken effect or may still do so.
     *
     * @param reason cause of the failure
     */
    record MaybeApplied(String reason) implements WriteResult {}

    /**
     * The service was not reached or refused the call; nothing was written.
     *
     * @param reason cause of the failure
     */
    record Unavailable(String reason) implements WriteResult {}
}
