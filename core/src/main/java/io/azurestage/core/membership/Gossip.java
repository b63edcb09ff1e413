package io.azurestage.core.membership;

import io.azurestage.wire.generated.Envelope;
import io.azurestage.wire.generated.MemberWire;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Queue of member updates to piggyback on messages. Each update is sent a number of times that
 * grows with log(n); those sent least often are sent first.
 */
final class Gossip {
    /** Maximum datagram size, which common links carry without fragmentation. */
    static final int DATAGRAM_BYTES = 1200;

    /** Reserved for the clock reading, the configuration version and the authentication code. */
    private static final int RESERVED_BYTES = 150;

    private static final int UPDATE_HEADER_BYTES = 3;
    private static final int SENDS_PER_DECADE = 4;

    /** Sends that eager messages use up within a fraction of a second; the rest go with probes. */
    private static final int EAGER_SENDS = 4;

    /** Sends after which an update can be dropped if a random peer already knows it. */
    private static final int MIN_SENDS = EAGER_SENDS + 4;

    private static final class Update {
        final Member mMember;
        final boolean mFull;
        boolean mReplaced;

        Update(Member member, boolean full) {
            mMember = member;
            mFull = full;
        }
    }

    private final List<ArrayDeque<Update>> mBySends = new ArrayList<>();
    private final Map<String, Update> mPending = new HashMap<>();

    /**
     * Queues a record.
     *
     * @param full whether to send the full record, because other nodes may not know the incarnation
     */
    void add(Member m, boolean full) {
        Update pending = mPending.get(m.nodeId());
        boolean sameIncarnation =
                pending != null && pending.mMember.node().incarnation() == m.node().incarnation();
        Update update = new Update(m, full || sameIncarnation && pending.mFull);
        if (pending != null) {
            pending.mReplaced = true;
        }
        mPending.put(m.nodeId(), update);
        queueOf(0).add(update);
    }

    /**
     * Appends as many updates as fit into a datagram.
     *
     * @param message message to extend
     * @param members number of members in the mesh
     */
    void fill(Envelope.Builder message, int members) {
        int remainingBytes =
                DATAGRAM_BYTES - RESERVED_BYTES - message.buildPartial().getSerializedSize();
        int limit = sendLimit(members);
        List<Update> sent = new ArrayList<>();
        List<Integer> sendCounts = new ArrayList<>();
        for (int i = 0; i < mBySends.size() && remainingBytes > 0; i++) {
            ArrayDeque<Update> queue = mBySends.get(i);
            while (!queue.isEmpty()) {
                Update update = queue.peek();
                if (!update.mReplaced) {
                    MemberWire w = toWire(update);
                    int size = w.getSerializedSize() + UPDATE_HEADER_BYTES;
                    if (size > remainingBytes) {
                        remainingBytes = 0;
                        break;
                    }
                    remainingBytes -= size;
                    message.addUpdates(w);
                    sent.add(update);
                    sendCounts.add(i + 1);
                }
                queue.remove();
            }
        }
        for (int i = 0; i < sent.size(); i++) {
            requeue(sent.get(i), sendCounts.get(i), limit);
        }
    }

    /** Drops updates that were sent often enough, after a random peer proved to know them all. */
    void dropKnown() {
        for (int i = MIN_SENDS; i < mBySends.size(); i++) {
            // Suspicions are not part of the digest and must still reach the suspect.
            mBySends.get(i)
                    .removeIf(update -> update.mReplaced || !isSuspicion(update) && drop(update));
        }
    }

    private boolean drop(Update update) {
        return mPending.remove(update.mMember.nodeId(), update);
    }

    private static boolean isSuspicion(Update update) {
        return update.mMember.liveness() == Member.Liveness.SUSPECT;
    }

    private void requeue(Update update, int sends, int limit) {
        if (sends < limit) {
            queueOf(sends).add(update);
        } else {
            mPending.remove(update.mMember.nodeId(), update);
        }
    }

    private ArrayDeque<Update> queueOf(int sends) {
        while (mBySends.size() <= sends) {
            mBySends.add(new ArrayDeque<>());
        }
        return mBySends.get(sends);
    }

    private static int sendLimit(int members) {
        return (int) Math.ceil(SENDS_PER_DECADE * Math.log10(members + 1.0)) + EAGER_SENDS;
    }

    private static MemberWire toWire(Update update) {
        return update.mFull
                ? MemberCodec.toFull(update.mMember)
                : MemberCodec.toShort(update.mMember);
    }
}
