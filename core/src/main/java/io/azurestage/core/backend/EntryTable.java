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
 * Entries of all nodes, as the store shows them. An entry that disappears stays usable for a grace
 * period while its node still answers, because an entry lapses with its lease during an outage of
 * the store though the server lives. Not thread-safe.
 */
public final class EntryTable {
    private record Held(ServerEntry entry, boolean lapsed, long lapsedNanos) {}

    private final TimeSource mTime;
    private final Duration mGrace;
    private final Map<String, Held> mByKey = new HashMap<>();

    /**
     * Creates an empty table.
     *
     * @param time source of time
     * @param grace how long an entry that has disappeared stays usable
     */
    public EntryTable(TimeSource time, Duration grace) {
        mTime = Objects.requireNonNull(time, "time");
        mGrace = grace;
    }

    /**
     * Takes over an entry.
     *
     * @param key its key in the store
     * @param entry the entry
     */
    public void put(String key, ServerEntry entry) {
        mByKey.put(key, new Held(entry, false, 0));
    }

    /**
     * Takes note that an entry is missing in the store.
     *
     * @param key its key
     */
    public void lapse(String key) {
        mByKey.computeIfPresent(
                key, (k, h) -> h.lapsed ? h : new Held(h.entry, true, mTime.nanos()));
    }

    /**
     * Takes note of a complete listing of the store: entries that it lacks have lapsed.
     *
     * @param keys all keys of the listing
     */
    public void listed(Set<String> keys) {
        List<String> missing = mByKey.keySet().stream().filter(k -> !keys.contains(k)).toList();
        missing.forEach(this::lapse);
    }

    /**
     * Drops lapsed entries whose grace is over, or whose node no longer answers.
     *
     * @param answers whether the node of an entry answers at present
     * @return the dropped entries
     */
    public List<ServerEntry> expire(Predicate<ServerEntry> answers) {
        long now = mTime.nanos();
        List<ServerEntry> dropped = new ArrayList<>();
        mByKey.values()
                .removeIf(
                        h -> {
                            boolean over = now - h.lapsedNanos >= mGrace.toNanos();
                            boolean drop = h.lapsed && (over || !answers.test(h.entry));
                            if (drop) {
                                dropped.add(h.entry);
                            }
                            return drop;
                        });
        return dropped;
    }

    /**
     * Returns the usable entries.
     *
     * @return a copy
     */
    public List<ServerEntry> entries() {
        return mByKey.values().stream().map(Held::entry).toList();
    }
}
