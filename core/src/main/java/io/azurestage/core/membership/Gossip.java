package io.azurestage.core.membership;

import io.azurestage.wire.generated.Envelope;
import io.azurestage.wire.generated.MemberWire;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Updates that are still to be spread. Each one is sent a number of times that grows with log(n);
 * the ones sent least often go first.
 */
final class Gossip {
    /** Largest datagram, in bytes; it passes every usual link without being fragmented. */
    static final int DATAGRAM_BYTES = 1200;

    /** Room for the clock reading, the configuration version and the authentication code. */
    private static final int STAMP_BYTES = 150;

    private static final int UPDATE_HEADER_BYTES = 3;
    private static final int SENDS_PER_DECADE = 4;

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

    /** Queues a record; {@code full} when the others may not know the incarnation yet. */
    void add(Member m, boolean full) {
        Update old = mPending.get(m.nodeId());
        boolean sameIncarnation =
                old != null && old.mMember.node().incarnation() == m.node().incarnation();
        Update u = new Update(m, full || sameIncarnation && old.mFull);
        if (old != null) {
            old.mReplaced = true;
        }
        mPending.put(m.nodeId(), u);
        queue(0).add(u);
    }

    /**
     * Appends as many updates as fit into a datagram.
     *
     * @param message the message so far
     * @param members size of the mesh
     */
    void fill(Envelope.Builder message, int members) {
        int room = DATAGRAM_BYTES - STAMP_BYTES - message.buildPartial().getSerializedSize();
        int limit = sends(members);
        List<Update> sent = new ArrayList<>();
        List<Integer> counts = new ArrayList<>();
        for (int i = 0; i < mBySends.size() && room > 0; i++) {
            ArrayDeque<Update> queue = mBySends.get(i);
            while (!queue.isEmpty()) {
                Update u = queue.peek();
                if (!u.mReplaced) {
                    MemberWire w = toWire(u);
                    int size = w.getSerializedSize() + UPDATE_HEADER_BYTES;
                    if (size > room) {
                        room = 0;
                        break;
                    }
                    room -= size;
                    message.addUpdates(w);
                    sent.add(u);
                    counts.add(i + 1);
                }
                queue.remove();
            }
        }
        for (int i = 0; i < sent.size(); i++) {
            requeue(sent.get(i), counts.get(i), limit);
        }
    }

    boolean isEmpty() {
        return mPending.isEmpty();
    }

    private void requeue(Update u, int sends, int limit) {
        if (sends < limit) {
            queue(sends).add(u);
        } else {
            mPending.remove(u.mMember.nodeId(), u);
        }
    }

    private ArrayDeque<Update> queue(int sends) {
        while (mBySends.size() <= sends) {
            mBySends.add(new ArrayDeque<>());
        }
        return mBySends.get(sends);
    }

    private static int sends(int members) {
        return (int) Math.ceil(SENDS_PER_DECADE * Math.log10(members + 1.0)) + 1;
    }

    private static MemberWire toWire(Update u) {
        return u.mFull ? MemberCodec.toFull(u.mMember) : MemberCodec.toShort(u.mMember);
    }
}
