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

/** Anti-entropy: compares the member table with one other node at a time and exchanges changes. */
final class TableSync {
    private static final long PERIOD_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final long JOIN_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long SEED_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(30);

    /** Mean time between two attempts by any node of the mesh to reach seeds of unknown members. */
    private static final long MESH_SEED_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(1);

    private static final int JOIN_MEMBERS = 3;

    /**
     * Time during which a new node synchronises every second. When all nodes start together, the
     * first members it contacts have incomplete tables too.
     */
    private static final long JOIN_PHASE_NANOS = TimeUnit.SECONDS.toNanos(10);

    private static final int MAX_SYNCED = 65_536;
    private static final int MAX_SEEDS = 256;

    /** Keeps a message under 1 MB. */
    private static final int MAX_RECORDS_PER_MESSAGE = 4_000;

    /** A sync that finds more changes than this is followed by another one soon. */
    private static final int RESYNC_CHANGES = 8;

    private final MemberTable mTable;
    private final Messenger mMessenger;
    private final RandomGenerator mRandom;
    private final List<String> mSeeds = new ArrayList<>();
    private final Set<String> mSynced = new HashSet<>();
    private final long mJoinPhaseEndNanos;
    private long mNextSyncAtNanos;
    private long mNextSeedAtNanos;
    private boolean mSyncSoon;

    TableSync(MemberTable table, Messenger messenger, RandomGenerator random, long now) {
        mTable = table;
        mMessenger = messenger;
        mRandom = random;
        mJoinPhaseEndNanos = now + JOIN_PHASE_NANOS;
        mNextSyncAtNanos = now;
        mNextSeedAtNanos = now + SEED_PERIOD_NANOS;
    }

    void addSeeds(Collection<String> addresses) {
        Set<String> all = new LinkedHashSet<>(mSeeds);
        all.removeAll(addresses);
        all.addAll(addresses);
        all.remove(mTable.self().addresses().control());
        mSeeds.clear();
        all.stream().skip(Math.max(0, all.size() - MAX_SEEDS)).forEach(mSeeds::add);
    }

    int syncedCount() {
        return mSynced.size();
    }

    /** Schedules a sync within a second, because this node's table is known to be incomplete. */
    void syncSoon() {
        mSyncSoon = true;
    }

    void tick(long now) {
        if (mSyncSoon && mNextSyncAtNanos - now > JOIN_PERIOD_NANOS) {
            mNextSyncAtNanos = now + mRandom.nextLong(JOIN_PERIOD_NANOS);
        }
        mSyncSoon = false;
        if (now - mNextSeedAtNanos >= 0) {
            long meanPeriodNanos = MESH_SEED_PERIOD_NANOS * mTable.peers().size();
            mNextSeedAtNanos =
                    now + Math.max(SEED_PERIOD_NANOS, mRandom.nextLong(2 * meanPeriodNanos + 1));
            sendRequest(randomUnknownSeed());
        }
        if (now - mNextSyncAtNanos < 0) {
            return;
        }
        boolean joining = isJoining() || now - mJoinPhaseEndNanos < 0;
        mNextSyncAtNanos =
                now
                        + (joining
                                ? JOIN_PERIOD_NANOS
                                : PERIOD_NANOS * 9 / 10 + mRandom.nextLong(PERIOD_NANOS / 5));
        sendRequest(chooseAddress(joining));
    }

    void onRequest(Envelope e) {
        boolean[] differing = mTable.differingBuckets(e.getSyncRequest().getBucketHashesList());
        List<Member> members = mTable.membersInBuckets(differing);
        boolean equal = mTable.bucketHashes().equals(e.getSyncRequest().getBucketHashesList());
        List<Long> bucketHashes = equal ? List.of() : mTable.bucketHashes();
        sendResponse(e.getReplyAddress(), equal ? List.of() : members, bucketHashes);
    }

    /** Returns the records that the sender lacks. To be called before its records are merged. */
    List<Member> recordsMissingAt(SyncResponse response) {
        if (response.getBucketHashesCount() == 0) {
            return List.of();
        }
        Map<String, Member> senderRecords = new HashMap<>();
        for (MemberWire w : response.getMembersList()) {
            if (MemberCodec.isValid(w)) {
                senderRecords.put(w.getNodeId(), MemberCodec.toMember(w));
            }
        }
        List<Member> missing = new ArrayList<>();
        for (Member m :
                mTable.membersInBuckets(mTable.differingBuckets(response.getBucketHashesList()))) {
            Member senderRecord = senderRecords.get(m.nodeId());
            if (senderRecord == null ? !m.isGone() : Member.compare(m, senderRecord) > 0) {
                missing.add(m);
            }
        }
        return missing;
    }

    void onResponse(Envelope e, List<Member> missing, int changes, long now) {
        SyncResponse response = e.getSyncResponse();
        if (!missing.isEmpty()) {
            sendResponse(e.getReplyAddress(), missing, List.of());
        }
        if (response.getComplete() && mSynced.size() < MAX_SYNCED) {
            boolean wasJoining = isJoining();
            mSynced.add(e.getFrom().getNodeId());
            if (wasJoining) {
                mNextSyncAtNanos = now;
            }
        }
        if (changes > RESYNC_CHANGES) {
            syncSoon();
        }
    }

    private void sendResponse(String address, List<Member> members, List<Long> bucketHashes) {
        for (int i = 0; i == 0 || i < members.size(); i += MAX_RECORDS_PER_MESSAGE) {
            List<Member> chunk =
                    members.subList(i, Math.min(members.size(), i + MAX_RECORDS_PER_MESSAGE));
            SyncResponse.Builder response = SyncResponse.newBuilder();
            chunk.forEach(m -> response.addMembers(MemberCodec.toFull(m)));
            boolean last = i + MAX_RECORDS_PER_MESSAGE >= members.size();
            // Hashes are sent only if all records fit into one message: with a part of the records,
            // the receiver would take the others for missing at this node.
            response.addAllBucketHashes(
                    members.size() <= MAX_RECORDS_PER_MESSAGE ? bucketHashes : List.of());
            response.setComplete(last);
            mMessenger.sendStream(address, mMessenger.newMessage().setSyncResponse(response));
        }
    }

    private void sendRequest(String address) {
        if (address == null) {
            return;
        }
        SyncRequest.Builder request =
                SyncRequest.newBuilder().addAllBucketHashes(mTable.bucketHashes());
        Envelope.Builder e =
                mMessenger.newMessage().setSyncRequest(request.setJoining(isJoining()));
        mMessenger.sendStream(address, e.addUpdates(MemberCodec.toFull(mTable.self())));
    }

    private boolean isJoining() {
        return mSynced.size() < Math.max(1, Math.min(JOIN_MEMBERS, mTable.peers().size()));
    }

    private String chooseAddress(boolean joining) {
        String seed = joining && mRandom.nextBoolean() ? randomUnknownSeed() : null;
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
        return randomUnknownSeed();
    }

    private String randomUnknownSeed() {
        Set<String> knownAddresses = new HashSet<>();
        mTable.peers().forEach(m -> knownAddresses.add(m.addresses().control()));
        List<String> unknownSeeds =
                mSeeds.stream().filter(s -> !knownAddresses.contains(s)).toList();
        return unknownSeeds.isEmpty()
                ? null
                : unknownSeeds.get(mRandom.nextInt(unknownSeeds.size()));
    }
}
