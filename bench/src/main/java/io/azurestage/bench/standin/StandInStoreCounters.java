package io.azurestage.bench.standin;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/**
 * Calls that a {@link StandInStore} has seen since its start or the last reset.
 *
 * @param calls calls by kind: {@code range}, {@code txn}, {@code grant}, {@code keepalive}, {@code
 *     watch}; a waiting watch is one call
 * @param total all calls
 * @param peakPerSecond most calls within any second
 */
public record StandInStoreCounters(Map<String, Long> calls, long total, long peakPerSecond) {

    /** Copies the map, so that the record is immutable. */
    public StandInStoreCounters {
        calls = Collections.unmodifiableMap(new TreeMap<>(calls));
    }

    /**
     * Returns the calls of one kind.
     *
     * @param kind kind of call
     * @return number of calls
     */
    public long calls(String kind) {
        return calls.getOrDefault(kind, 0L);
    }
}
