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
 * Keys, their changes and leases. Keys are strings of Latin-1 characters, one for each byte, so
 * that their order is the order of the bytes. Not thread-safe.
 */
final class StandInStoreState {
    private static final String NO_END = "\0";

    private final NavigableMap<String, StandInStoreChange> mKeys = new TreeMap<>();
    private final List<StandInStoreChange> mLog = new ArrayList<>();
    private final Map<Long, Lease> mLeases = new HashMap<>();
    private final Consumer<List<StandInStoreChange>> mListener;
    private long mRevision = 1;
    private long mCompacted;
    private long mNextLease = 1;

    StandInStoreState(Consumer<List<StandInStoreChange>> listener) {
        mListener = listener;
    }

    private record Lease(long seconds, long endNanos) {}

    long revision() {
        return mRevision;
    }

    long compacted() {
        return mCompacted;
    }

    void compact() {
        mCompacted = mRevision;
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

    /** Returns the seconds that the lease now lasts, or 0 if it has lapsed. */
    long keepAlive(long id, long nowNanos) {
        Lease old = mLeases.get(id);
        if (old == null) {
            return 0;
        }
        mLeases.put(id, lease(old.seconds(), nowNanos));
        return old.seconds();
    }

    void expire(long nowNanos) {
        endLeases(l -> l.endNanos() - nowNanos <= 0);
    }

    void lapseAll() {
        endLeases(l -> true);
    }

    private void endLeases(Predicate<Lease> ended) {
        for (Iterator<Map.Entry<Long, Lease>> i = mLeases.entrySet().iterator(); i.hasNext(); ) {
            Map.Entry<Long, Lease> e = i.next();
            if (ended.test(e.getValue())) {
                i.remove();
                removeKeysOf(e.getKey());
            }
        }
    }

    private void removeKeysOf(long lease) {
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
        return mLog.stream().filter(c -> c.revision() >= revision).toList();
    }

    /** Forgets all changes after a revision, as a restore from a backup does. */
    void returnTo(long revision) {
        if (revision < 1 || revision > mRevision) {
            throw new IllegalArgumentException(
                    "revision " + revision + " is not within 1.." + mRevision);
        }
        List<StandInStoreChange> kept =
                mLog.stream().filter(c -> c.revision() <= revision).toList();
        mLog.clear();
        mKeys.clear();
        mLog.addAll(kept);
        kept.forEach(this::set);
        mRevision = revision;
        mCompacted = Math.min(mCompacted, revision);
    }

    private void apply(List<StandInStoreChange> changes) {
        mLog.addAll(changes);
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
