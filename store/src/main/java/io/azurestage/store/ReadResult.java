package io.azurestage.store;

import java.util.List;

/** Outcome of a read. */
public sealed interface ReadResult {

    /**
     * The service answered.
     *
     * @param values values found, sorted by key
     * @param revision revision of the whole store at the read
     */
    record Found(List<Versioned> values, long revision) implements ReadResult {}

    /**
     * The service did not answer or failed.
     *
     * @param reason what happened
     */
    record Unavailable(String reason) implements ReadResult {}
}
