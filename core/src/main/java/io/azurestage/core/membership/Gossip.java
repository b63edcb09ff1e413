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

    /** Eager messages use up these sends within a fraction of a second; probes need the rest. */
    private static final int EAGER_SENDS = 4;

    /** An update that was sent so often and is known to a random peer has spread far enough. */
    private static final int ENOUGH_SENDS = EAGER_SENDS + 4;

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

    /** Forgets what has been spread, after a random peer turned out to have the same table. */
    void settle() {
        for (int i = ENOUGH_SENDS; i < mBySends.size(); i++) {
            // Suspicions are not part of the digest; they still have to reach the suspect.
            mBySends.get(i).removeIf(u -> u.mReplaced || !isSuspicion(u) && forget(u));
        }
    }

    private boolean forget(Update u) {
        return mPending.remove(u.mMember.nodeId(), u);
    }

    private static boolean isSuspicion(Update u) {
        return u.mMember.liveness() == Member.Liveness.SUSPECT;
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
        return (int) Math.ceil(SENDS_PER_DECADE * Math.log10(members + 1.0)) + EAGER_SENDS;
    }

    private static MemberWire toWire(Update u) {
        return u.mFull ? MemberCodec.toFull(u.mMember) : MemberCodec.toShort(u.mMember);
    }
}
