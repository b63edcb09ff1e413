package io.azurestage.core.spread;

import java.util.Optional;

/** Result of comparing the version in the store with the version in force at a node. */
public sealed interface StoreView {

    /**
     * The store holds a higher version, which the node must adopt.
     *
     * @param record the store's version
     */
    record Adopt(ConfigRecord record) implements StoreView {}

    /** The store holds the version in force, or neither side has one. No action is needed. */
    record InForce() implements StoreView {}

    /**
     * The store holds a lower version or none, because it has lost a write. The caller reports
     * {@code STORE_BEHIND}; the version in force stays.
     *
     * @param inForce the version that the store lacks
     * @param writeBack true if this node must write it back, by compare-and-swap against the
     *     version that was read
     */
    record Behind(ConfigRecord inForce, boolean writeBack) implements StoreView {}

    /**
     * Compares the version in the store with the version in force.
     *
     * @param inForce the version in force at this node, if any
     * @param stored the version read from the store, empty if the key does not exist
     * @param firstWatcher whether this node writes lost versions back, see {@link Watchers#place}
     * @return the result, which tells the caller what to do
     */
    static StoreView of(
            Optional<ConfigRecord> inForce, Optional<ConfigRecord> stored, boolean firstWatcher) {
        VersionId inForceId = inForce.map(ConfigRecord::version).orElse(VersionId.NONE);
        VersionId storedId = stored.map(ConfigRecord::version).orElse(VersionId.NONE);
        int order = storedId.compareTo(inForceId);
        if (order == 0) {
            return new InForce();
        }
        return order > 0
                ? new Adopt(stored.orElseThrow())
                : new Behind(inForce.orElseThrow(), firstWatcher);
    }
}
