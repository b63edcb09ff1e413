package io.azurestage.bench.standin;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/**
 * Number of calls that a {@link StandInStore} received since its start or the last reset.
 *
 * @param calls calls by kind: {@code range}, {@code txn}, {@code grant}, {@code keepalive}, {@code
 *     watch}; an open watch counts as one call
 * @param total number of calls of all kinds
 * @param peakPerSecond largest number of calls within a sliding second
 */
public record StandInStoreCounters(Map<String, Long> calls, long total, long peakPerSecond) {

    /** Copies the map, so that the record is immutable. */
    public StandInStoreCounters {
        calls = Collections.unmodifiableMap(new TreeMap<>(calls));
    }

    /**
     * Returns the number of calls of one kind.
     *
     * @param kind kind of call, as in {@link #calls()}
     * @return number of calls, 0 if there were none
     */
    public long calls(String kind) {
        return calls.getOrDefault(kind, 0L);
    }
}
