package io.azurestage.store;

/** An event reported by a watch. */
public sealed interface WatchEvent {

    /**
     * A key was written.
     *
     * @param value the new value
     */
    record Put(Versioned value) implements WatchEvent {}

    /**
     * A key was deleted, or its lease expired.
     *
     * @param key the key
     * @param revision revision of the deletion
     */
    record Removed(String key, long revision) implements WatchEvent {}

    /**
     * The watch failed; this is its last event. To resume, read the keys again and watch from the
     * revision after that read.
     *
     * @param reason cause of the failure
     */
    record Broken(String reason) implements WatchEvent {}
}
