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
 * Admitted fractions of downstream services, learned from the feedback that responses carry.
 * Thread-safe and bounded in size: the chains that have been without feedback for the longest time
 * are evicted first.
 */
public final class ChainLevels {
    private static final int MAX_CHAINS = 4096;
    private static final int EVICTION_BATCH = MAX_CHAINS / 8;

    private final TimeSource mTime;
    private final ConcurrentHashMap<ChainKey, ChainState> mChains = new ConcurrentHashMap<>();
    private final ConcurrentHashMap<PartnerClass, ServiceFractions> mTables =
            new ConcurrentHashMap<>();

    /**
     * Creates an empty table.
     *
     * @param time source of time
     */
    public ChainLevels(TimeSource time) {
        mTime = Objects.requireNonNull(time, "time");
    }

    /**
     * Updates the fractions from the feedback of a response. They apply to all chains of the
     * partner that reach these services: under strict class priority little browsing work is
     * admitted, so most of the feedback about it arrives on responses to work of higher classes.
     *
     * @param key chain of the request that the response belongs to
     * @param levels fractions of the services that the request has reached
     */
    public void learn(ChainKey key, Collection<ServiceLevel> levels) {
        if (levels.isEmpty()) {
            return;
        }
        long now = mTime.nanos();
        for (ServiceLevel l : levels) {
            table(key.partner(), l.workClass()).update(l.service(), l.fraction(), now);
        }
        ServiceFractions table = table(key.partner(), key.workClass());
        mChains.compute(
                key,
                (k, old) -> {
                    ChainState state = old == null ? new ChainState(table, now) : old;
                    levels.forEach(l -> state.reaches(l.service(), now));
                    return state.isExpired(now) ? null : state;
                });
        if (mChains.size() > MAX_CHAINS) {
            evict(now);
        }
    }

    private ServiceFractions table(String partner, WorkClass workClass) {
        return mTables.computeIfAbsent(
                new PartnerClass(partner, workClass), k -> new ServiceFractions());
    }

    /**
     * Returns the fraction to admit at the entry of a chain.
     *
     * @param key the chain
     * @return a number in (0,1], 1 when nothing is known
     */
    public double fraction(ChainKey key) {
        ChainState state = mChains.get(key);
        return state == null ? 1 : state.fraction(mTime.nanos());
    }

    /**
     * Decides whether to admit a request at the entry of a chain, and counts it. Entry nodes call
     * this once for each request instead of {@link #fraction(ChainKey)}: with the counted arrival
     * rate the level can rise as soon as a surge ends, before the next response arrives.
     *
     * @param key the chain
     * @param rank rank of the request in [0,1)
     * @return the entry fraction for the request's context, empty if the request is refused
     */
    public OptionalDouble admit(ChainKey key, double rank) {
        ChainState state = mChains.get(key);
        double fraction = state == null ? 1 : state.offer(mTime.nanos());
        return rank < fraction ? OptionalDouble.of(fraction) : OptionalDouble.empty();
    }

    /**
     * Returns the fractions to report to the caller of this hop.
     *
     * @param key the chain
     * @return fractions below 1 by service
     */
    public Map<String, Double> fractions(ChainKey key) {
        ChainState state = mChains.get(key);
        return state == null ? Map.of() : state.fractions(mTime.nanos());
    }

    /**
     * Returns the number of chains with a level below 1, including expired ones not yet removed.
     *
     * @return at most 4096 once all calls of {@link #learn} have returned
     */
    public int size() {
        return mChains.size();
    }

    private synchronized void evict(long now) {
        if (mChains.size() <= MAX_CHAINS) {
            return;
        }
        mChains.values().removeIf(e -> e.isExpired(now));
        if (mChains.size() <= MAX_CHAINS) {
            return;
        }
        // Other threads may update the times during the sort; a snapshot keeps it consistent.
        Map<ChainKey, Long> silenceNanos = new HashMap<>();
        mChains.forEach((key, state) -> silenceNanos.put(key, now - state.lastAnswerNanos()));
        silenceNanos.entrySet().stream()
                .sorted(Map.Entry.<ChainKey, Long>comparingByValue().reversed())
                .limit(EVICTION_BATCH)
                .forEach(e -> mChains.remove(e.getKey()));
    }
}
