package io.azurestage.store;

import java.util.List;

/** Outcome of a read. */
public sealed interface ReadResult {

    /**
     * The read succeeded.
     *
     * @param values the values found, sorted by key
     * @param revision revision of the store at the time of the read
     */
    record Found(List<Versioned> values, long revision) implements ReadResult {}

    /**
     * The service did not answer or failed.
     *
     * @param reason cause of the failure
     */
    record Unavailable(String reason) implements ReadResult {}
}
