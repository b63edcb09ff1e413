package io.azurestage.core.spread;

import java.util.Optional;

/** What a reading of the store means for a node. */
public sealed interface StoreView {

    /**
     * The store holds a higher version: it is to be adopted.
     *
     * @param record the store's version
     */
    record Adopt(ConfigRecord record) implements StoreView {}

    /** The store holds the version in force, or neither side has one: nothing is to be done. */
    record InForce() implements StoreView {}

    /**
     * The store holds a lower version or none: it lost a write. Report {@code STORE_BEHIND}; the
     * version in force stays.
     *
     * @param inForce the version that the store lacks
     * @param writeBack true if this node is to write it back, by compare-and-swap against what was
     *     read
     */
    record Behind(ConfigRecord inForce, boolean writeBack) implements StoreView {}

    /**
     * Compares a reading of the store with the version in force.
     *
     * @param inForce the version in force at this node
     * @param stored what the store returned, empty if the key does not exist
     * @param firstWatcher whether this node writes lost versions back, see {@link Watchers#isFirst}
     * @return what is to be done
     */
    static StoreView of(
            Optional<ConfigRecord> inForce, Optional<ConfigRecord> stored, boolean firstWatcher) {
        VersionId ours = inForce.map(ConfigRecord::version).orElse(VersionId.NONE);
        VersionId theirs = stored.map(ConfigRecord::version).orElse(VersionId.NONE);
        int c = theirs.compareTo(ours);
        if (c == 0) {
            return new InForce();
        }
        return c > 0
                ? new Adopt(stored.orElseThrow())
                : new Behind(inForce.orElseThrow(), firstWatcher);
    }
}
