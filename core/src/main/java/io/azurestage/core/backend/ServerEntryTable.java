package io.azurestage.core.backend;

import io.azurestage.core.time.TimeSource;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Entries of all nodes, as registered in the store. An entry that disappears remains usable for a
 * grace period while its node still responds, because during an outage of the store the lease of an
 * entry expires although its server is alive. Not thread-safe.
 */
public final class ServerEntryTable {
    private record TrackedEntry(ServerEntry entry, boolean lapsed, long lapsedNanos) {}

    private final TimeSource mTime;
    private final Duration mGrace;
    private final Map<String, TrackedEntry> mEntries = new HashMap<>();

    /**
     * Creates an empty table.
     *
     * @param time source of time
     * @param grace time for which an entry remains usable after it has disappeared
     */
    public ServerEntryTable(TimeSource time, Duration grace) {
        mTime = Objects.requireNonNull(time, "time");
        mGrace = grace;
    }

    /**
     * Adds or replaces an entry.
     *
     * @param key its key in the store
     * @param entry the entry
     */
    public void put(String key, ServerEntry entry) {
        mEntries.put(key, new TrackedEntry(entry, false, 0));
    }

    /**
     * Marks an entry as missing from the store.
     *
     * @param key its key
     */
    public void markMissing(String key) {
        mEntries.computeIfPresent(
                key, (k, e) -> e.lapsed ? e : new TrackedEntry(e.entry, true, mTime.nanos()));
    }

    /**
     * Processes a complete listing of the store: entries that are not in it have lapsed.
     *
     * @param keys all keys of the listing
     */
    public void onFullListing(Set<String> keys) {
        List<String> missing = mEntries.keySet().stream().filter(k -> !keys.contains(k)).toList();
        missing.forEach(this::markMissing);
    }

    /**
     * Removes lapsed entries whose grace period is over or whose node no longer responds.
     *
     * @param isResponsive whether the node of an entry currently responds
     * @return the removed entries
     */
    public List<ServerEntry> removeExpired(Predicate<ServerEntry> isResponsive) {
        long now = mTime.nanos();
        List<ServerEntry> removed = new ArrayList<>();
        mEntries.values()
                .removeIf(
                        e -> {
                            boolean graceElapsed = now - e.lapsedNanos >= mGrace.toNanos();
                            boolean remove =
                                    e.lapsed && (graceElapsed || !isResponsive.test(e.entry));
                            if (remove) {
                                removed.add(e.entry);
                            }
                            return remove;
                        });
        return removed;
    }

    /**
     * Returns the usable entries.
     *
     * @return a copy
     */
    public List<ServerEntry> entries() {
        return mEntries.values().stream().map(TrackedEntry::entry).toList();
    }
}
