package io.azurestage.core.admission;

import io.azurestage.config.WorkClass;
import io.azurestage.core.time.TimeSource;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalDouble;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Admitted fractions of the services below, learnt from answers. Thread-safe, and bounded in size:
 * the chains without feedback for the longest time are forgotten first.
 */
public final class ChainLevels {
    private static final int MAX_CHAINS = 4096;
    private static final int EVICTED_AT_ONCE = MAX_CHAINS / 8;

    private final TimeSource mTime;
    private final ConcurrentHashMap<ChainKey, ChainState> mEntries = new ConcurrentHashMap<>();
    private final ConcurrentHashMap<PartnerClass, LevelTable> mTables = new ConcurrentHashMap<>();

    /**
     * Creates an empty table.
     *
     * @param time source of time
     */
    public ChainLevels(TimeSource time) {
        mTime = Objects.requireNonNull(time, "time");
    }

    /**
     * Learns the fractions that an answer carried. They apply to all chains of the partner that
     * reach these services: under strict class order little browsing work is admitted, so most of
     * the feedback about it comes on answers of more important work.
     *
     * @param key chain of the answered request
     * @param levels fractions of the services that the request has reached
     */
    public void learn(ChainKey key, Collection<ServiceLevel> levels) {
        if (levels.isEmpty()) {
            return;
        }
        long now = mTime.nanos();
        for (ServiceLevel l : levels) {
            table(key.partner(), l.workClass()).learn(l.service(), l.fraction(), now);
        }
        LevelTable table = table(key.partner(), key.workClass());
        mEntries.compute(
                key,
                (k, old) -> {
                    ChainState state = old == null ? new ChainState(table, now) : old;
                    levels.forEach(l -> state.reaches(l.service(), now));
                    return state.isExpired(now) ? null : state;
                });
        if (mEntries.size() > MAX_CHAINS) {
            evict(now);
        }
    }

    private LevelTable table(String partner, WorkClass workClass) {
        return mTables.computeIfAbsent(new PartnerClass(partner, workClass), k -> new LevelTable());
    }

    /**
     * Returns the fraction to admit at the entry of a chain.
     *
     * @param key the chain
     * @return a number in (0,1], 1 when nothing is known
     */
    public double fraction(ChainKey key) {
        ChainState state = mEntries.get(key);
        return state == null ? 1 : state.fraction(mTime.nanos());
    }

    /**
     * Decides about a request at the entry of a chain and counts it. Entry nodes call this once for
     * each request instead of {@link #fraction(ChainKey)}: the counts let the level rise as soon as
     * a surge ends, even before the next answer.
     *
     * @param key the chain
     * @param rank rank of the request in [0,1)
     * @return the entry fraction for the request's context, empty if the request is refused
     */
    public OptionalDouble admit(ChainKey key, double rank) {
        ChainState state = mEntries.get(key);
        double fraction = state == null ? 1 : state.offer(mTime.nanos());
        return rank < fraction ? OptionalDouble.of(fraction) : OptionalDouble.empty();
    }

    /**
     * Returns the fractions to pass on to the hop above.
     *
     * @param key the chain
     * @return fractions below 1 by service
     */
    public Map<String, Double> fractions(ChainKey key) {
        ChainState state = mEntries.get(key);
        return state == null ? Map.of() : state.fractions(mTime.nanos());
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
        // Learning goes on meanwhile, so the times are read once to keep the order consistent.
        Map<ChainKey, Long> silent = new HashMap<>();
        mEntries.forEach((key, state) -> silent.put(key, now - state.answeredNanos()));
        silent.entrySet().stream()
                .sorted(Map.Entry.<ChainKey, Long>comparingByValue().reversed())
                .limit(EVICTED_AT_ONCE)
                .forEach(e -> mEntries.remove(e.getKey()));
    }
}
