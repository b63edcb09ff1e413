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
 * SWIM-style membership of one node: a state machine that is driven by {@link #tick} and {@link
 * #receive} and that sends through a {@link MessageSink}. Not thread-safe.
 *
 * <p>Own state changes and refutations spread eagerly: a node that learns of one passes it on to
 * {@value #FANOUT} others with its next tick. Everything else spreads on probes.
 */
public final class Membership {
    private static final int FANOUT = 4;
    private static final int OWN_FANOUT = 8;
    private static final long PAUSE_NANOS = TimeUnit.SECONDS.toNanos(3);
    private static final long MIN_SUSPICION_NANOS = TimeUnit.SECONDS.toNanos(3);
    private static final long SUSPICION_PER_DECADE_NANOS = TimeUnit.SECONDS.toNanos(4);

    /** Eager messages that may be sent at once; bounds the traffic of a mass start. */
    private static final int EAGER_BURST = 80;

    private static final double EAGER_PER_NANO = 20 / 1e9;

    /** Changes found by one sync beyond this number are left to other nodes' syncs. */
    private static final int MAX_GOSSIP_PER_SYNC = 64;

    private final TimeSource mTime;
    private final MembershipListener mListener;
    private final MemberTable mTable;
    private final Gossip mGossip = new Gossip();
    private final Messenger mMessenger;
    private final Prober mProber;
    private final TableSync mSync;
    private final ProbeWindow mWindow = new ProbeWindow();
    private long mLastTick;
    private long mSuperseded;
    private double mEagerTokens = EAGER_BURST;
    private boolean mEager;
    private boolean mIsolated;

    /**
     * Creates the membership of a node that knows nobody yet.
     *
     * @param self this node's first record, see {@link Member#joining}
     * @param time source of time; only the monotonic part is read
     * @param random source of random choices
     * @param sink takes the messages to send
     * @param listener receives changes
     */
    public Membership(
            Member self,
            TimeSource time,
            RandomGenerator random,
            MessageSink sink,
            MembershipListener listener) {
        mTime = time;
        mListener = listener;
        mLastTick = time.nanos();
        mTable = new MemberTable(self, random);
        mMessenger = new Messenger(mTable, mGossip, sink);
        Prober.Outcome outcome =
                new Prober.Outcome() {
                    @Override
                    public void onAnswer(Member target) {
                        onProbeAnswer(target);
                    }

                    @Override
                    public void onFailure(Member target) {
                        onProbeFailure(target);
                    }
                };
        mProber = new Prober(mTable, mMessenger, random, outcome, mLastTick);
        mSync = new TableSync(mTable, mMessenger, random, mLastTick);
        mGossip.add(self, true);
    }

    /**
     * Adds addresses to join through. They are also contacted from time to time while no member is
     * known at them. The latest 256 are kept.
     *
     * @param addresses control addresses, {@code host:port}
     */
    public void addSeeds(Collection<String> addresses) {
        mSync.addSeeds(addresses);
    }

    /** Runs what is due. Call it about every 100 ms. */
    public void tick() {
        long now = mTime.nanos();
        long gap = now - mLastTick;
        mLastTick = now;
        if (gap > PAUSE_NANOS) {
            mProber.reset(now);
            mTable.restartSuspicions(now);
            mSync.soon();
            mListener.onPaused(Duration.ofNanos(gap));
        }
        mEagerTokens = Math.min(EAGER_BURST, mEagerTokens + gap * EAGER_PER_NANO);
        mTable.forget(now);
        mProber.tick(now);
        mSync.tick(now);
        updateIsolation(now);
        expireSuspicions(now);
        if (mEager && mEagerTokens >= FANOUT) {
            mEager = false;
            mEagerTokens -= FANOUT;
            spread(FANOUT);
        }
    }

    /**
     * Handles a message. Messages with a body that belongs to the configuration are only searched
     * for updates.
     *
     * @param e a message whose authentication code was checked
     */
    public void receive(Envelope e) {
        Member self = mTable.self();
        long from = e.getFrom().getIncarnation();
        if (e.getFrom().getNodeId().equals(self.nodeId())) {
            superseded(from);
            return;
        }
        for (MemberWire w : e.getUpdatesList()) {
            merge(w, false, true);
        }
        Member sender = mTable.get(e.getFrom().getNodeId());
        if (sender == null || sender.node().incarnation() < from) {
            mSync.soon();
        }
        switch (e.getBodyCase()) {
            case PING -> mProber.onPing(e);
            case PING_REQUEST -> mProber.onPingRequest(e, mTime.nanos());
            case ACK -> mProber.onAck(e);
            case SYNC_REQUEST -> mSync.onRequest(e);
            case SYNC_RESPONSE -> onSyncResponse(e);
            default -> {}
        }
    }

    /**
     * Announces a new state of this node at once to several members.
     *
     * @param state the new state; {@code LEFT} is final
     */
    public void setState(State state) {
        Member self = mTable.self();
        if (self.state() == state || self.state() == State.LEFT) {
            return;
        }
        announce(self.with(self.revision() + 1, state, Liveness.ALIVE));
        spread(OWN_FANOUT);
    }

    /**
     * Returns this node's record.
     *
     * @return the record in force
     */
    public Member self() {
        return mTable.self();
    }

    /**
     * Returns all members, this node and the remembered dead included.
     *
     * @return an immutable snapshot, the same one until something changes
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
     * Returns with how many members this node has compared its whole table since it started.
     *
     * @return number of different node ids
     */
    public int syncedMembers() {
        return mSync.synced();
    }

    /**
     * Tells whether most of this node's own probes fail.
     *
     * @return true while this node declares nobody dead
     */
    public boolean isIsolated() {
        return mIsolated;
    }

    private void onSyncResponse(Envelope e) {
        SyncResponse r = e.getSyncResponse();
        List<Member> missing = mSync.missingAt(r);
        boolean gossip = r.getMembersCount() <= MAX_GOSSIP_PER_SYNC;
        int changes = 0;
        for (MemberWire w : r.getMembersList()) {
            changes += merge(w, true, gossip) ? 1 : 0;
        }
        mSync.onResponse(e, missing, changes, mTime.nanos());
        if (r.getComplete() && r.getMembersCount() == 0 && r.getBucketHashesCount() == 0) {
            mGossip.settle();
        }
    }

    private boolean merge(MemberWire w, boolean sync, boolean gossip) {
        if (!MemberCodec.isValid(w)) {
            return false;
        }
        if (w.getNodeId().equals(mTable.self().nodeId())) {
            refute(w);
            return false;
        }
        Member before = mTable.get(w.getNodeId());
        boolean full = MemberCodec.isFull(w);
        boolean sameIncarnation =
                before != null && before.node().incarnation() == w.getIncarnation();
        if (!full && !sameIncarnation) {
            if (before == null || before.node().incarnation() < w.getIncarnation()) {
                mSync.soon();
            }
            return false;
        }
        Member after =
                full
                        ? MemberCodec.toMember(w)
                        : before.with(
                                w.getRevision(), MemberCodec.state(w), MemberCodec.liveness(w));
        // A death that is news to this node long after the fact is not kept: nodes would hand it
        // to each other for ever.
        if (before == null ? after.isGone() : Member.compare(after, before) <= 0) {
            return false;
        }
        if (sync && sameIncarnation && isDeath(after) && !before.isGone()) {
            // The other side of a healed partition takes all of this side for dead. The member is
            // asked, and refutes, before this node believes it.
            mProber.verify(after);
            return false;
        }
        apply(before, after, gossip);
        return true;
    }

    private static boolean isDeath(Member m) {
        return m.liveness() == Liveness.DEAD && m.state() != State.LEFT;
    }

    private void apply(Member before, Member after, boolean gossip) {
        mTable.put(after, mTime.nanos());
        boolean known = before != null && before.node().incarnation() == after.node().incarnation();
        if (gossip) {
            mGossip.add(after, !known);
            mEager |= !known || after.liveness() == Liveness.ALIVE;
        }
        mListener.onChange(before, after);
    }

    private void refute(MemberWire w) {
        Member self = mTable.self();
        superseded(w.getIncarnation());
        boolean same = w.getIncarnation() == self.node().incarnation();
        if (!same || self.state() == State.LEFT || w.getRevision() < self.revision()) {
            return;
        }
        if (w.getRevision() > self.revision() || MemberCodec.liveness(w) != Liveness.ALIVE) {
            announce(self.with(w.getRevision() + 1, self.state(), Liveness.ALIVE));
            mListener.onRefuted(mTable.self());
        }
    }

    private void superseded(long incarnation) {
        if (incarnation > Math.max(mSuperseded, mTable.self().node().incarnation())) {
            mSuperseded = incarnation;
            mListener.onSuperseded(incarnation);
        }
    }

    private void announce(Member self) {
        mTable.put(self, mTime.nanos());
        mGossip.add(self, false);
        mEager = true;
    }

    private void spread(int targets) {
        for (Member m : mTable.randomPeers(targets, mTable.self().nodeId())) {
            mMessenger.datagram(m.addresses().control(), mMessenger.message());
        }
    }

    private void onProbeAnswer(Member target) {
        if (!target.isGone()) {
            mWindow.add(false);
        }
    }

    private void onProbeFailure(Member target) {
        Member known = mTable.get(target.nodeId());
        if (known == null || known.isGone() || known.liveness() == Liveness.SUSPECT) {
            return;
        }
        mWindow.add(true);
        if (Member.compare(known, target) == 0) {
            boolean isolated = mWindow.mostFailed(mTable.peers().size());
            apply(known, known.with(Liveness.SUSPECT), !isolated);
        }
    }

    private void updateIsolation(long now) {
        boolean isolated = mWindow.mostFailed(mTable.peers().size());
        if (isolated || mIsolated) {
            mTable.restartSuspicions(now);
        }
        if (isolated != mIsolated) {
            mIsolated = isolated;
            mListener.onIsolation(isolated);
        }
    }

    private void expireSuspicions(long now) {
        long timeout = suspicionNanos(mTable.peers().size() + 1);
        List<Member> dead = new ArrayList<>();
        for (Map.Entry<String, Long> s : mTable.suspects().entrySet()) {
            if (now - s.getValue() >= timeout) {
                dead.add(mTable.get(s.getKey()));
            }
        }
        dead.forEach(m -> apply(m, m.with(Liveness.DEAD), true));
    }

    private static long suspicionNanos(int members) {
        long nanos = (long) (SUSPICION_PER_DECADE_NANOS * Math.log10(members + 1.0));
        return Math.max(MIN_SUSPICION_NANOS, nanos);
    }
}
