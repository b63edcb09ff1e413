package io.azurestage.store;

import io.azurestage.config.AcceptedConfig;

/** Outcome of reading a version of the configuration. */
public sealed interface VersionRead {

    /**
     * The version was read.
     *
     * @param record the version
     * @param revision revision of its key
     */
    record Found(AcceptedConfig record, long revision) implements VersionRead {}

    /** The store holds no such version. */
    record Missing() implements VersionRead {}

    /**
     * The store did not answer or failed.
     *
     * @param reason cause of the failure
     */
    record Unavailable(String reason) implements VersionRead {}

    /**
     * The stored value cannot be parsed as a version.
     *
     * @param reason what is wrong with it
     */
    record Unreadable(String reason) implements VersionRead {}
}
