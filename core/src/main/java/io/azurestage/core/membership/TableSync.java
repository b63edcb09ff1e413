package io.azurestage.core.membership;

import io.azurestage.wire.generated.Envelope;
import io.azurestage.wire.generated.MemberWire;
import io.azurestage.wire.generated.SyncRequest;
import io.azurestage.wire.generated.SyncResponse;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/** Compares this node's table with one other node's at a time and exchanges what differs. */
final class TableSync {
    private static final long PERIOD_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final long JOIN_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long SEED_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(30);

    /** Time between two attempts of all nodes together to reach seeds where nobody is known. */
    private static final long SEED_SHARED_NANOS = TimeUnit.SECONDS.toNanos(1);

    private static final int JOIN_MEMBERS = 3;

    /**
     * A new node synchronises every second for this long. When all nodes start together, the first
     * members it meets know as little as it does.
     */
    private static final long JOIN_NANOS = TimeUnit.SECONDS.toNanos(10);

    private static final int MAX_SYNCED = 65_536;
    private static final int MAX_SEEDS = 256;

    /** Records in one message; keeps it under 1 MB. */
    private static final int CHUNK = 4_000;

    /** A sync that brings more news than this is followed by another one soon. */
    private static final int MANY = 8;

    private final MemberTable mTable;
    private final Messenger mMessenger;
    private final RandomGenerator mRandom;
    private final List<String> mSeeds = new ArrayList<>();
    private final Set<String> mSynced = new HashSet<>();
    private final long mJoinEnd;
    private long mNext;
    private long mNextSeed;
    private boolean mSoon;

    TableSync(MemberTable table, Messenger messenger, RandomGenerator random, long now) {
        mTable = table;
        mMessenger = messenger;
        mRandom = random;
        mJoinEnd = now + JOIN_NANOS;
        mNext = now;
        mNextSeed = now + SEED_PERIOD_NANOS;
    }

    void addSeeds(Collection<String> addresses) {
        Set<String> all = new LinkedHashSet<>(mSeeds);
        all.removeAll(addresses);
        all.addAll(addresses);
        all.remove(mTable.self().addresses().control());
        mSeeds.clear();
        all.stream().skip(Math.max(0, all.size() - MAX_SEEDS)).forEach(mSeeds::add);
    }

    int synced() {
        return mSynced.size();
    }

    /** Asks for a sync within a second, because this node's table is known to be incomplete. */
    void soon() {
        mSoon = true;
    }

    void tick(long now) {
        if (mSoon && mNext - now > JOIN_PERIOD_NANOS) {
            mNext = now + mRandom.nextLong(JOIN_PERIOD_NANOS);
        }
        mSoon = false;
        if (now - mNextSeed >= 0) {
            long shared = SEED_SHARED_NANOS * mTable.peers().size();
            mNextSeed = now + Math.max(SEED_PERIOD_NANOS, mRandom.nextLong(2 * shared + 1));
            request(unknownSeed());
        }
        if (now - mNext < 0) {
            return;
        }
        boolean joining = isJoining() || now - mJoinEnd < 0;
        mNext =
                now
                        + (joining
                                ? JOIN_PERIOD_NANOS
                                : PERIOD_NANOS * 9 / 10 + mRandom.nextLong(PERIOD_NANOS / 5));
        request(target(joining));
    }

    void onRequest(Envelope e) {
        boolean[] differ = mTable.differingBuckets(e.getSyncRequest().getBucketHashesList());
        List<Member> members = mTable.inBuckets(differ);
        boolean equal = mTable.hashes().equals(e.getSyncRequest().getBucketHashesList());
        List<Long> hashes = equal ? List.of() : mTable.hashes();
        respond(e.getReplyAddress(), equal ? List.of() : members, hashes);
    }

    /** Returns the records that the sender lacks; call before its records are merged. */
    List<Member> missingAt(SyncResponse r) {
        if (r.getBucketHashesCount() == 0) {
            return List.of();
        }
        Map<String, Member> theirs = new HashMap<>();
        for (MemberWire w : r.getMembersList()) {
            if (MemberCodec.isValid(w)) {
                theirs.put(w.getNodeId(), MemberCodec.toMember(w));
            }
        }
        List<Member> missing = new ArrayList<>();
        for (Member m : mTable.inBuckets(mTable.differingBuckets(r.getBucketHashesList()))) {
            Member t = theirs.get(m.nodeId());
            if (t == null ? !m.isGone() : Member.compare(m, t) > 0) {
                missing.add(m);
            }
        }
        return missing;
    }

    void onResponse(Envelope e, List<Member> missing, int changes, long now) {
        SyncResponse r = e.getSyncResponse();
        if (!missing.isEmpty()) {
            respond(e.getReplyAddress(), missing, List.of());
        }
        if (r.getComplete() && mSynced.size() < MAX_SYNCED) {
            boolean wasJoining = isJoining();
            mSynced.add(e.getFrom().getNodeId());
            if (wasJoining) {
                mNext = now;
            }
        }
        if (changes > MANY) {
            soon();
        }
    }

    private void respond(String address, List<Member> members, List<Long> hashes) {
        for (int i = 0; i == 0 || i < members.size(); i += CHUNK) {
            List<Member> part = members.subList(i, Math.min(members.size(), i + CHUNK));
            SyncResponse.Builder r = SyncResponse.newBuilder();
            part.forEach(m -> r.addMembers(MemberCodec.toFull(m)));
            boolean last = i + CHUNK >= members.size();
            // Hashes come with a whole answer only: a partial one would look like missing records.
            r.addAllBucketHashes(members.size() <= CHUNK ? hashes : List.of());
            r.setComplete(last);
            mMessenger.stream(address, mMessenger.message().setSyncResponse(r));
        }
    }

    private void request(String address) {
        if (address == null) {
            return;
        }
        SyncRequest.Builder r = SyncRequest.newBuilder().addAllBucketHashes(mTable.hashes());
        Envelope.Builder e = mMessenger.message().setSyncRequest(r.setJoining(isJoining()));
        mMessenger.stream(address, e.addUpdates(MemberCodec.toFull(mTable.self())));
    }

    private boolean isJoining() {
        return mSynced.size() < Math.max(1, Math.min(JOIN_MEMBERS, mTable.peers().size()));
    }

    private String target(boolean joining) {
        String seed = joining && mRandom.nextBoolean() ? unknownSeed() : null;
        if (seed != null) {
            return seed;
        }
        Member m = mTable.randomPeer();
        for (int i = 0; joining && i < 8 && m != null && mSynced.contains(m.nodeId()); i++) {
            m = mTable.randomPeer();
        }
        if (m != null) {
            return m.addresses().control();
        }
        return unknownSeed();
    }

    private String unknownSeed() {
        Set<String> known = new HashSet<>();
        mTable.peers().forEach(m -> known.add(m.addresses().control()));
        List<String> unknown = mSeeds.stream().filter(s -> !known.contains(s)).toList();
        return unknown.isEmpty() ? null : unknown.get(mRandom.nextInt(unknown.size()));
    }
}
