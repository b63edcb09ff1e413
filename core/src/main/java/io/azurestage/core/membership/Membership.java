package io.azurestage.core.membership;

import io.azurestage.core.membership.Member.Liveness;
import io.azurestage.core.membership.Member.State;
import io.azurestage.core.time.TimeSource;
import io.azurestage.wire.generated.Envelope;
import io.azurestage.wire.generated.MemberWire;
import io.azurestage.wire.generated.SyncResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * SWIM-style membership protocol of one node: a state machine driven by {@link #tick} and {@link
 * #receive} that sends through a {@link MessageSink}. Not thread-safe.
 *
 * <p>State changes and refutations are gossiped eagerly: a node that receives one forwards it to
 * {@value #FANOUT} others at its next tick. All other updates are piggybacked on probes.
 */
public final class Membership {
    private static final int FANOUT = 4;
    private static final int OWN_STATE_FANOUT = 8;

    /** Time between two ticks from which this node is considered to have been paused. */
    private static final long PAUSE_THRESHOLD_NANOS = TimeUnit.SECONDS.toNanos(3);

    private static final long MIN_SUSPICION_NANOS = TimeUnit.SECONDS.toNanos(3);
    private static final long SUSPICION_PER_DECADE_NANOS = TimeUnit.SECONDS.toNanos(4);

    /** Burst size of the token bucket for eager messages; bounds the traffic of a mass start. */
    private static final int EAGER_BURST = 80;

    private static final double EAGER_MESSAGES_PER_NANO = 20 / 1e9;

    /** A sync response with more records is not gossiped further; other nodes sync on their own. */
    private static final int MAX_GOSSIP_PER_SYNC = 64;

    private final TimeSource mTime;
    private final MembershipListener mListener;
    private final MemberTable mTable;
    private final Gossip mGossip = new Gossip();
    private final Messenger mMessenger;
    private final Prober mProber;
    private final TableSync mTableSync;
    private final ProbeWindow mProbeWindow = new ProbeWindow();
    private long mLastTickNanos;
    private long mSupersedingIncarnation;
    private double mEagerTokens = EAGER_BURST;
    private boolean mEagerGossipDue;
    private boolean mIsolated;

    /**
     * Creates the membership of a node that knows no other members.
     *
     * @param self this node's first record, see {@link Member#joining}
     * @param time source of time; only the monotonic clock is read
     * @param random source of random choices
     * @param sink sends the messages
     * @param listener receives membership changes
     */
    public Membership(
            Member self,
            TimeSource time,
            RandomGenerator random,
            MessageSink sink,
            MembershipListener listener) {
        mTime = time;
        mListener = listener;
        mLastTickNanos = time.nanos();
        mTable = new MemberTable(self, random);
        mMessenger = new Messenger(mTable, mGossip, sink);
        Prober.ProbeListener probeListener =
                new Prober.ProbeListener() {
                    @Override
                    public void onSuccess(Member target) {
                        onProbeSuccess(target);
                    }

                    @Override
                    public void onFailure(Member target) {
                        onProbeFailure(target);
                    }
                };
        mProber = new Prober(mTable, mMessenger, random, probeListener, mLastTickNanos);
        mTableSync = new TableSync(mTable, mMessenger, random, mLastTickNanos);
        mGossip.add(self, true);
    }

    /**
     * Adds seed addresses to join through. Seeds without a known member are also contacted
     * periodically later. The latest 256 seeds are kept.
     *
     * @param addresses control addresses, {@code host:port}
     */
    public void addSeeds(Collection<String> addresses) {
        mTableSync.addSeeds(addresses);
    }

    /** Runs the periodic work that is due. To be called about every 100 ms. */
    public void tick() {
        long now = mTime.nanos();
        long gap = now - mLastTickNanos;
        mLastTickNanos = now;
        if (gap > PAUSE_THRESHOLD_NANOS) {
            mProber.reset(now);
            mTable.restartSuspicions(now);
            mTableSync.syncSoon();
            mListener.onPaused(Duration.ofNanos(gap));
        }
        mEagerTokens = Math.min(EAGER_BURST, mEagerTokens + gap * EAGER_MESSAGES_PER_NANO);
        mTable.evictGone(now);
        mProber.tick(now);
        mTableSync.tick(now);
        updateIsolation(now);
        expireSuspicions(now);
        if (mEagerGossipDue && mEagerTokens >= FANOUT) {
            mEagerGossipDue = false;
            mEagerTokens -= FANOUT;
            sendGossip(FANOUT);
        }
    }

    /**
     * Handles a received message. Of messages whose body belongs to another protocol, only the
     * member updates are processed.
     *
     * @param e an authenticated message
     */
    public void receive(Envelope e) {
        Member self = mTable.self();
        long senderIncarnation = e.getFrom().getIncarnation();
        if (e.getFrom().getNodeId().equals(self.nodeId())) {
            checkSuperseded(senderIncarnation);
            return;
        }
        for (MemberWire w : e.getUpdatesList()) {
            merge(w, false, true);
        }
        Member sender = mTable.get(e.getFrom().getNodeId());
        if (sender == null || sender.node().incarnation() < senderIncarnation) {
            mTableSync.syncSoon();
        }
        switch (e.getBodyCase()) {
            case PING -> mProber.onPing(e);
            case PING_REQUEST -> mProber.onPingRequest(e, mTime.nanos());
            case ACK -> mProber.onAck(e);
            case SYNC_REQUEST -> mTableSync.onRequest(e);
            case SYNC_RESPONSE -> onSyncResponse(e);
            default -> {}
        }
    }

    /**
     * Changes the state of this node and announces it to several members at once.
     *
     * @param state the new state; {@code LEFT} is final
     */
    public void setState(State state) {
        Member self = mTable.self();
        if (self.state() == state || self.state() == State.LEFT) {
            return;
        }
        announce(self.with(self.revision() + 1, state, Liveness.ALIVE));
        sendGossip(OWN_STATE_FANOUT);
    }

    /**
     * Returns this node's record.
     *
     * @return the current record
     */
    public Member self() {
        return mTable.self();
    }

    /**
     * Returns all members, including this node and those that left or died within 24 h.
     *
     * @return an immutable snapshot, the same instance until something changes
     */
    public List<Member> members() {
        return mTable.snapshot();
    }

    /**
     * Returns the members other than this node that are neither dead nor left.
     *
     * @return an immutable snapshot
     */
    public List<Member> peers() {
        return mTable.peers();
    }

    /**
     * Returns the number of members with which this node has synchronised its whole table since it
     * started.
     *
     * @return number of distinct node ids
     */
    public int syncedMembers() {
        return mTableSync.syncedCount();
    }

    /**
     * Tells whether this node considers itself isolated, because most of its own probes fail.
     *
     * @return true while this node is isolated and declares no member dead
     */
    public boolean isIsolated() {
        return mIsolated;
    }

    private void onSyncResponse(Envelope e) {
        SyncResponse r = e.getSyncResponse();
        List<Member> missing = mTableSync.recordsMissingAt(r);
        boolean gossip = r.getMembersCount() <= MAX_GOSSIP_PER_SYNC;
        int changes = 0;
        for (MemberWire w : r.getMembersList()) {
            changes += merge(w, true, gossip) ? 1 : 0;
        }
        mTableSync.onResponse(e, missing, changes, mTime.nanos());
        if (r.getComplete() && r.getMembersCount() == 0 && r.getBucketHashesCount() == 0) {
            mGossip.dropKnown();
        }
    }

    private boolean merge(MemberWire w, boolean fromSync, boolean gossip) {
        if (!MemberCodec.isValid(w)) {
            return false;
        }
        if (w.getNodeId().equals(mTable.self().nodeId())) {
            refute(w);
            return false;
        }
        Member before = mTable.get(w.getNodeId());
        boolean isFull = MemberCodec.isFull(w);
        boolean sameIncarnation =
                before != null && before.node().incarnation() == w.getIncarnation();
        if (!isFull && !sameIncarnation) {
            if (before == null || before.node().incarnation() < w.getIncarnation()) {
                mTableSync.syncSoon();
            }
            return false;
        }
        Member after =
                isFull
                        ? MemberCodec.toMember(w)
                        : before.with(
                                w.getRevision(), MemberCodec.state(w), MemberCodec.liveness(w));
        // Gone members that this node does not know are not added: nodes that evict them at
        // different times would otherwise pass them to each other forever.
        if (before == null ? after.isGone() : Member.compare(after, before) <= 0) {
            return false;
        }
        if (fromSync && sameIncarnation && isDeclaredDead(after) && !before.isGone()) {
            // After a partition heals, the other side considers all members of this side dead. The
            // claim is verified with a probe, which lets the member refute it.
            mProber.verify(after);
            return false;
        }
        apply(before, after, gossip);
        return true;
    }

    private static boolean isDeclaredDead(Member m) {
        return m.liveness() == Liveness.DEAD && m.state() != State.LEFT;
    }

    private void apply(Member before, Member after, boolean gossip) {
        mTable.put(after, mTime.nanos());
        boolean sameIncarnationKnown =
                before != null && before.node().incarnation() == after.node().incarnation();
        if (gossip) {
            mGossip.add(after, !sameIncarnationKnown);
            mEagerGossipDue |= !sameIncarnationKnown || after.liveness() == Liveness.ALIVE;
        }
        mListener.onChange(before, after);
    }

    private void refute(MemberWire w) {
        Member self = mTable.self();
        checkSuperseded(w.getIncarnation());
        boolean sameIncarnation = w.getIncarnation() == self.node().incarnation();
        if (!sameIncarnation || self.state() == State.LEFT || w.getRevision() < self.revision()) {
            return;
        }
        if (w.getRevision() > self.revision() || MemberCodec.liveness(w) != Liveness.ALIVE) {
            announce(self.with(w.getRevision() + 1, self.state(), Liveness.ALIVE));
            mListener.onRefuted(mTable.self());
        }
    }

    private void checkSuperseded(long incarnation) {
        if (incarnation > Math.max(mSupersedingIncarnation, mTable.self().node().incarnation())) {
            mSupersedingIncarnation = incarnation;
            mListener.onSuperseded(incarnation);
        }
    }

    private void announce(Member self) {
        mTable.put(self, mTime.nanos());
        mGossip.add(self, false);
        mEagerGossipDue = true;
    }

    private void sendGossip(int targets) {
        for (Member m : mTable.randomPeers(targets, mTable.self().nodeId())) {
            mMessenger.sendDatagram(m.addresses().control(), mMessenger.newMessage());
        }
    }

    private void onProbeSuccess(Member target) {
        if (!target.isGone()) {
            mProbeWindow.add(false);
        }
    }

    private void onProbeFailure(Member target) {
        Member known = mTable.get(target.nodeId());
        if (known == null || known.isGone() || known.liveness() == Liveness.SUSPECT) {
            return;
        }
        mProbeWindow.add(true);
        if (Member.compare(known, target) == 0) {
            boolean isolated = mProbeWindow.majorityFailed(mTable.peers().size());
            apply(known, known.with(Liveness.SUSPECT), !isolated);
        }
    }

    private void updateIsolation(long now) {
        boolean isolated = mProbeWindow.majorityFailed(mTable.peers().size());
        if (isolated || mIsolated) {
            mTable.restartSuspicions(now);
        }
        if (isolated != mIsolated) {
            mIsolated = isolated;
            mListener.onIsolation(isolated);
        }
    }

    private void expireSuspicions(long now) {
        long timeout = suspicionTimeoutNanos(mTable.peers().size() + 1);
        List<Member> dead = new ArrayList<>();
        for (Map.Entry<String, Long> s : mTable.suspectSince().entrySet()) {
            if (now - s.getValue() >= timeout) {
                dead.add(mTable.get(s.getKey()));
            }
        }
        dead.forEach(m -> apply(m, m.with(Liveness.DEAD), true));
    }

    private static long suspicionTimeoutNanos(int members) {
        long nanos = (long) (SUSPICION_PER_DECADE_NANOS * Math.log10(members + 1.0));
        return Math.max(MIN_SUSPICION_NANOS, nanos);
    }
}
