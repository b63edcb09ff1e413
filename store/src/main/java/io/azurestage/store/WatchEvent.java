package io.azurestage.store;

/** What a watch reports. */
public sealed interface WatchEvent {

    /**
     * A key was written.
     *
     * @param value the new value
     */
    record Put(Versioned value) implements WatchEvent {}

    /**
     * A key was removed or its lease ended.
     *
     * @param key the key
     * @param revision revision of the removal
     */
    record Removed(String key, long revision) implements WatchEvent {}

    /**
     * The watch ended. Read again, then watch from the revision of that read.
     *
     * @param reason what happened
     */
    record Broken(String reason) implements WatchEvent {}
}
