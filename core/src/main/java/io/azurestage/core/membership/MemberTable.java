package io.azurestage.core.membership;

import io.azurestage.core.membership.Member.Liveness;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * The records of all members, with a digest of 64 bucket hashes. Members that are gone are not part
 * of the digest: nodes evict them at different times, which must not count as a difference.
 */
final class MemberTable {
    static final int BUCKETS = 64;
    private static final long GONE_RETENTION_NANOS = TimeUnit.HOURS.toNanos(24);
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private final String mSelfId;
    private final RandomGenerator mRandom;
    private final Map<String, Member> mMembers = new HashMap<>();
    private final long[] mBucketHashes = new long[BUCKETS];
    private final Map<String, Long> mSuspectSince = new LinkedHashMap<>();
    private final Map<String, Long> mGoneSince = new LinkedHashMap<>();
    private List<Member> mSnapshot = List.of();
    private List<Member> mPeers = List.of();
    private boolean mSnapshotStale;

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

    /**
     * Stores a record. If it is suspect or gone, {@code now} is recorded as the start unless it
     * already was.
     */
    void put(Member m, long now) {
        String id = m.nodeId();
        Member previous = mMembers.put(id, m);
        if (previous != null) {
            mBucketHashes[bucket(id)] ^= digest(previous);
        }
        mBucketHashes[bucket(id)] ^= digest(m);
        track(mSuspectSince, id, m.liveness() == Liveness.SUSPECT && !m.isGone(), now);
        track(mGoneSince, id, m.isGone(), now);
        mSnapshotStale = true;
    }

    /** Evicts members that have been gone for 24 h. */
    void evictGone(long now) {
        mGoneSince
                .entrySet()
                .removeIf(
                        e -> {
                            boolean expired = now - e.getValue() > GONE_RETENTION_NANOS;
                            if (expired && !e.getKey().equals(mSelfId)) {
                                mMembers.remove(e.getKey());
                                mSnapshotStale = true;
                            }
                            return expired;
                        });
    }

    List<Member> snapshot() {
        refreshSnapshot();
        return mSnapshot;
    }

    /** Returns the members other than this node that are not gone. */
    List<Member> peers() {
        refreshSnapshot();
        return mPeers;
    }

    Member randomPeer() {
        List<Member> peers = peers();
        return peers.isEmpty() ? null : peers.get(mRandom.nextInt(peers.size()));
    }

    /** Returns up to {@code n} distinct random peers other than the one with the excluded id. */
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

    int goneCount() {
        return mGoneSince.size();
    }

    /** Returns a random gone member whose address no current member uses, or null. */
    Member randomGoneMember() {
        Set<String> addressesInUse = new HashSet<>();
        peers().forEach(m -> addressesInUse.add(m.addresses().control()));
        addressesInUse.add(self().addresses().control());
        List<Member> gone =
                mGoneSince.keySet().stream()
                        .map(mMembers::get)
                        .filter(m -> !addressesInUse.contains(m.addresses().control()))
                        .toList();
        return gone.isEmpty() ? null : gone.get(mRandom.nextInt(gone.size()));
    }

    /** Returns the suspects by id, with the start of each suspicion. */
    Map<String, Long> suspectSince() {
        return mSuspectSince;
    }

    /** Restarts all suspicions, after a period in which this node could not receive refutations. */
    void restartSuspicions(long now) {
        mSuspectSince.replaceAll((id, since) -> now);
    }

    List<Long> bucketHashes() {
        List<Long> bucketHashes = new ArrayList<>(BUCKETS);
        for (long h : mBucketHashes) {
            bucketHashes.add(h);
        }
        return bucketHashes;
    }

    boolean[] differingBuckets(List<Long> other) {
        boolean[] differ = new boolean[BUCKETS];
        for (int i = 0; i < BUCKETS; i++) {
            differ[i] = i >= other.size() || other.get(i) != mBucketHashes[i];
        }
        return differ;
    }

    List<Member> membersInBuckets(boolean[] buckets) {
        return mMembers.values().stream().filter(m -> buckets[bucket(m.nodeId())]).toList();
    }

    static int bucket(String id) {
        return (int) (hash(id) & (BUCKETS - 1));
    }

    private void refreshSnapshot() {
        if (!mSnapshotStale) {
            return;
        }
        mSnapshotStale = false;
        mSnapshot = List.copyOf(mMembers.values());
        mPeers =
                mSnapshot.stream().filter(m -> !m.isGone() && !m.nodeId().equals(mSelfId)).toList();
    }

    private static void track(Map<String, Long> map, String id, boolean present, long now) {
        if (present) {
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

    /** Applies the 64-bit finalizer of MurmurHash3. */
    private static long mix(long h) {
        long x = (h ^ h >>> 33) * 0xff51afd7ed558ccdL;
        x = (x ^ x >>> 33) * 0xc4ceb9fe1a85ec53L;
        return x ^ x >>> 33;
    }
}
