package io.azurestage.bench.standin;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Keys, leases and the history of changes. Keys are decoded as Latin-1, one character for each
 * byte, so that they sort in byte order. Not thread-safe.
 */
final class StandInStoreState {
    private static final String NO_END = "\0";

    private final NavigableMap<String, StandInStoreChange> mKeys = new TreeMap<>();
    private final List<StandInStoreChange> mHistory = new ArrayList<>();
    private final Map<Long, Lease> mLeases = new HashMap<>();
    private final Consumer<List<StandInStoreChange>> mListener;
    private long mRevision = 1;
    private long mCompactedRevision;
    private long mNextLease = 1;

    StandInStoreState(Consumer<List<StandInStoreChange>> listener) {
        mListener = listener;
    }

    private record Lease(long seconds, long expiryNanos) {}

    long revision() {
        return mRevision;
    }

    long compactedRevision() {
        return mCompactedRevision;
    }

    void compact() {
        mCompactedRevision = mRevision;
    }

    List<StandInStoreChange> range(String key, String end) {
        if (end.isEmpty()) {
            StandInStoreChange c = mKeys.get(key);
            return c == null ? List.of() : List.of(c);
        }
        NavigableMap<String, StandInStoreChange> from = mKeys.tailMap(key, true);
        return List.copyOf((NO_END.equals(end) ? from : from.headMap(end, false)).values());
    }

    long modRevision(String key) {
        StandInStoreChange c = mKeys.get(key);
        return c == null ? 0 : c.revision();
    }

    boolean hasLease(long lease) {
        return mLeases.containsKey(lease);
    }

    void put(String key, byte[] value, long lease) {
        mRevision++;
        apply(List.of(new StandInStoreChange(key, value, mRevision, lease)));
    }

    long grant(long seconds, long nowNanos) {
        long id = mNextLease++;
        mLeases.put(id, lease(seconds, nowNanos));
        return id;
    }

    /** Renews a lease; returns its time to live in seconds, or 0 if it does not exist. */
    long keepAlive(long id, long nowNanos) {
        Lease old = mLeases.get(id);
        if (old == null) {
            return 0;
        }
        mLeases.put(id, lease(old.seconds(), nowNanos));
        return old.seconds();
    }

    void expire(long nowNanos) {
        removeLeases(l -> l.expiryNanos() - nowNanos <= 0);
    }

    void expireAll() {
        removeLeases(l -> true);
    }

    private void removeLeases(Predicate<Lease> ended) {
        for (Iterator<Map.Entry<Long, Lease>> i = mLeases.entrySet().iterator(); i.hasNext(); ) {
            Map.Entry<Long, Lease> e = i.next();
            if (ended.test(e.getValue())) {
                i.remove();
                removeKeysOfLease(e.getKey());
            }
        }
    }

    private void removeKeysOfLease(long lease) {
        List<String> bound =
                mKeys.values().stream()
                        .filter(c -> c.lease() == lease)
                        .map(StandInStoreChange::key)
                        .toList();
        if (bound.isEmpty()) {
            return;
        }
        mRevision++;
        apply(bound.stream().map(k -> new StandInStoreChange(k, null, mRevision, 0)).toList());
    }

    List<StandInStoreChange> changesFrom(long revision) {
        return mHistory.stream().filter(c -> c.revision() >= revision).toList();
    }

    /** Discards all changes after a revision, as a restore from a backup does. */
    void rollBackTo(long revision) {
        if (revision < 1 || revision > mRevision) {
            throw new IllegalArgumentException(
                    "revision " + revision + " is not within 1.." + mRevision);
        }
        List<StandInStoreChange> kept =
                mHistory.stream().filter(c -> c.revision() <= revision).toList();
        mHistory.clear();
        mKeys.clear();
        mHistory.addAll(kept);
        kept.forEach(this::set);
        mRevision = revision;
        mCompactedRevision = Math.min(mCompactedRevision, revision);
    }

    private void apply(List<StandInStoreChange> changes) {
        mHistory.addAll(changes);
        changes.forEach(this::set);
        mListener.accept(changes);
    }

    private void set(StandInStoreChange c) {
        if (c.isRemoval()) {
            mKeys.remove(c.key());
        } else {
            mKeys.put(c.key(), c);
        }
    }

    private static Lease lease(long seconds, long nowNanos) {
        return new Lease(seconds, nowNanos + Duration.ofSeconds(seconds).toNanos());
    }
}
