package io.azurestage.core.admission;

import io.azurestage.core.time.TimeSource;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Admitted fractions of the services below, learnt from answers. Thread-safe, and bounded in size:
 * the chains without feedback for the longest time are forgotten first.
 */
public final class ChainLevels {
    private static final int MAX_CHAINS = 4096;
    private static final int EVICTED_AT_ONCE = MAX_CHAINS / 8;

    private final TimeSource mTime;
    private final ConcurrentHashMap<ChainKey, LevelEntry> mEntries = new ConcurrentHashMap<>();

    /**
     * Creates an empty table.
     *
     * @param time source of time
     */
    public ChainLevels(TimeSource time) {
        mTime = Objects.requireNonNull(time, "time");
    }

    /**
     * Learns the fractions that an answer carried.
     *
     * @param key chain of the answered request
     * @param fractions admitted fraction by service; a service that is absent admits everything
     */
    public void learn(ChainKey key, Map<String, Double> fractions) {
        long now = mTime.nanos();
        mEntries.compute(
                key,
                (k, old) -> {
                    LevelEntry learnt =
                            old == null
                                    ? LevelEntry.first(fractions, now)
                                    : old.learn(fractions, now);
                    return learnt.isExpired(now) ? null : learnt;
                });
        if (mEntries.size() > MAX_CHAINS) {
            evict(now);
        }
    }

    /**
     * Returns the fraction to admit at the entry of a chain.
     *
     * @param key the chain
     * @return a number in (0,1], 1 when nothing is known
     */
    public double fraction(ChainKey key) {
        LevelEntry entry = mEntries.get(key);
        return entry == null ? 1 : entry.lowest(mTime.nanos());
    }

    /**
     * Returns the fractions to pass on to the hop above.
     *
     * @param key the chain
     * @return fractions below 1 by service
     */
    public Map<String, Double> fractions(ChainKey key) {
        LevelEntry entry = mEntries.get(key);
        return entry == null ? Map.of() : entry.fractions(mTime.nanos());
    }

    /**
     * Returns the number of chains with a level below 1, including aged ones not yet removed.
     *
     * @return at most 4096 once all calls of {@link #learn} have returned
     */
    public int size() {
        return mEntries.size();
    }

    private synchronized void evict(long now) {
        if (mEntries.size() <= MAX_CHAINS) {
            return;
        }
        mEntries.values().removeIf(e -> e.isExpired(now));
        if (mEntries.size() <= MAX_CHAINS) {
            return;
        }
        List<Map.Entry<ChainKey, LevelEntry>> oldest =
                mEntries.entrySet().stream()
                        .map(e -> Map.entry(e.getKey(), e.getValue()))
                        .sorted(
                                Comparator.comparingLong(
                                        (Map.Entry<ChainKey, LevelEntry> e) ->
                                                e.getValue().learntNanos() - now))
                        .limit(EVICTED_AT_ONCE)
                        .toList();
        oldest.forEach(e -> mEntries.remove(e.getKey(), e.getValue()));
    }
}
