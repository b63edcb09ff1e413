package io.azurestage.core.membership;

import io.azurestage.core.membership.Member.Liveness;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * The records of all members with a digest of 64 bucket hashes. Members that are gone do not count
 * in the digest: nodes forget them at different times, which must not look like a difference.
 */
final class MemberTable {
    static final int BUCKETS = 64;
    private static final long MEMORY_NANOS = TimeUnit.HOURS.toNanos(24);
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private final String mSelfId;
    private final RandomGenerator mRandom;
    private final Map<String, Member> mMembers = new HashMap<>();
    private final long[] mHashes = new long[BUCKETS];
    private final Map<String, Long> mSuspects = new LinkedHashMap<>();
    private final Map<String, Long> mGone = new LinkedHashMap<>();
    private List<Member> mSnapshot = List.of();
    private List<Member> mPeers = List.of();
    private boolean mChanged;

    MemberTable(Member self, RandomGenerator random) {
        mSelfId = self.nodeId();
        mRandom = random;
        put(self, 0);
    }

    Member self() {
        return mMembers.get(mSelfId);
    }

    Member get(String id) {
        return mMembers.get(id);
    }

    /** Puts a record in force; {@code now} is the start of a suspicion or of an absence. */
    void put(Member m, long now) {
        String id = m.nodeId();
        Member before = mMembers.put(id, m);
        if (before != null) {
            mHashes[bucket(id)] ^= digest(before);
        }
        mHashes[bucket(id)] ^= digest(m);
        track(mSuspects, id, m.liveness() == Liveness.SUSPECT && !m.isGone(), now);
        track(mGone, id, m.isGone(), now);
        mChanged = true;
    }

    /** Forgets members that have been gone for 24 h. */
    void forget(long now) {
        mGone.entrySet()
                .removeIf(
                        e -> {
                            boolean old = now - e.getValue() > MEMORY_NANOS;
                            if (old && !e.getKey().equals(mSelfId)) {
                                mMembers.remove(e.getKey());
                                mChanged = true;
                            }
                            return old;
                        });
    }

    List<Member> snapshot() {
        refresh();
        return mSnapshot;
    }

    /** Members other than this node that are not gone. */
    List<Member> peers() {
        refresh();
        return mPeers;
    }

    Member randomPeer() {
        List<Member> peers = peers();
        return peers.isEmpty() ? null : peers.get(mRandom.nextInt(peers.size()));
    }

    /** Up to {@code n} distinct random peers, none of them with the excluded id. */
    Collection<Member> randomPeers(int n, String excludedId) {
        Map<String, Member> chosen = new LinkedHashMap<>();
        for (int i = 0; i < 4 * n && chosen.size() < n; i++) {
            Member m = randomPeer();
            if (m != null && !m.nodeId().equals(excludedId)) {
                chosen.put(m.nodeId(), m);
            }
        }
        return chosen.values();
    }

    Member randomGone() {
        List<Member> gone =
                mGone.keySet().stream()
                        .filter(id -> !id.equals(mSelfId))
                        .map(mMembers::get)
                        .toList();
        return gone.isEmpty() ? null : gone.get(mRandom.nextInt(gone.size()));
    }

    /** Suspects by id, with the start of the suspicion. */
    Map<String, Long> suspects() {
        return mSuspects;
    }

    /** Starts all suspicions again, after a time in which this node could hear no refutation. */
    void restartSuspicions(long now) {
        mSuspects.replaceAll((id, since) -> now);
    }

    List<Long> hashes() {
        List<Long> hashes = new ArrayList<>(BUCKETS);
        for (long h : mHashes) {
            hashes.add(h);
        }
        return hashes;
    }

    boolean[] differingBuckets(List<Long> other) {
        boolean[] differ = new boolean[BUCKETS];
        for (int i = 0; i < BUCKETS; i++) {
            differ[i] = i >= other.size() || other.get(i) != mHashes[i];
        }
        return differ;
    }

    List<Member> inBuckets(boolean[] buckets) {
        return mMembers.values().stream().filter(m -> buckets[bucket(m.nodeId())]).toList();
    }

    static int bucket(String id) {
        return (int) (hash(id) & (BUCKETS - 1));
    }

    private void refresh() {
        if (!mChanged) {
            return;
        }
        mChanged = false;
        mSnapshot = List.copyOf(mMembers.values());
        mPeers =
                mSnapshot.stream().filter(m -> !m.isGone() && !m.nodeId().equals(mSelfId)).toList();
    }

    private static void track(Map<String, Long> map, String id, boolean in, long now) {
        if (in) {
            map.putIfAbsent(id, now);
        } else {
            map.remove(id);
        }
    }

    private static long digest(Member m) {
        if (m.isGone()) {
            return 0;
        }
        return mix(hash(m.nodeId()) + 31 * mix(m.node().incarnation()) + m.revision());
    }

    private static long hash(String id) {
        long h = FNV_OFFSET;
        for (int i = 0; i < id.length(); i++) {
            h = (h ^ id.charAt(i)) * FNV_PRIME;
        }
        return mix(h);
    }

    /** Finalizer of MurmurHash3. */
    private static long mix(long h) {
        long x = (h ^ h >>> 33) * 0xff51afd7ed558ccdL;
        x = (x ^ x >>> 33) * 0xc4ceb9fe1a85ec53L;
        return x ^ x >>> 33;
    }
}
