package io.azurestage.core.membership;

import io.azurestage.wire.generated.Ack;
import io.azurestage.wire.generated.Envelope;
import io.azurestage.wire.generated.Ping;
import io.azurestage.wire.generated.PingRequest;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/** SWIM failure detector: probes members directly and indirectly through other members. */
final class Prober {
    private static final long PROBE_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long DIRECT_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(400);
    private static final long PROBE_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(950);
    private static final long GONE_PROBE_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(10);

    /**
     * Mean time between two probes of the same gone member by any node of the mesh. The address of
     * a gone member may belong to a new VM, which must not be flooded.
     */
    private static final long MESH_GONE_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(2);

    private static final int INDIRECT_PROBES = 3;
    private static final int MAX_RELAYS = 256;

    /** Receives the results of probes. */
    interface ProbeListener {
        void onSuccess(Member target);

        void onFailure(Member target);
    }

    private record Probe(Member target, long startedAtNanos, boolean indirect) {}

    private record Relay(
            String targetId, String requesterAddress, long sequence, long startedAtNanos) {}

    private final MemberTable mTable;
    private final Messenger mMessenger;
    private final RandomGenerator mRandom;
    private final ProbeListener mListener;
    private final Map<Long, Probe> mProbes = new LinkedHashMap<>();
    private final Map<Long, Relay> mRelays = new LinkedHashMap<>();
    private final Map<String, Member> mClaimsToVerify = new LinkedHashMap<>();
    private final ArrayDeque<String> mProbeOrder = new ArrayDeque<>();
    private long mNextProbeAtNanos;
    private long mNextGoneProbeAtNanos;

    Prober(
            MemberTable table,
            Messenger messenger,
            RandomGenerator random,
            ProbeListener listener,
            long now) {
        mTable = table;
        mMessenger = messenger;
        mRandom = random;
        mListener = listener;
        mNextProbeAtNanos = now + random.nextLong(PROBE_PERIOD_NANOS);
        mNextGoneProbeAtNanos = now + random.nextLong(GONE_PROBE_PERIOD_NANOS);
    }

    /** Discards the probes in flight, whose answers were lost while this node was paused. */
    void reset(long now) {
        mProbes.clear();
        mRelays.clear();
        mNextProbeAtNanos = now;
    }

    /** Schedules a probe of a member that is claimed to be dead; the probe carries the claim. */
    void verify(Member claimed) {
        mClaimsToVerify.put(claimed.nodeId(), claimed);
    }

    void tick(long now) {
        expireProbes(now);
        if (now - mNextProbeAtNanos >= 0) {
            mNextProbeAtNanos += Math.max(PROBE_PERIOD_NANOS, now - mNextProbeAtNanos);
            Member target = nextTarget();
            if (target != null) {
                probe(target, target, now);
            }
        }
        if (now - mNextGoneProbeAtNanos >= 0) {
            long meanPeriodNanos =
                    MESH_GONE_PERIOD_NANOS
                            * mTable.peers().size()
                            / Math.max(1, mTable.goneCount());
            mNextGoneProbeAtNanos =
                    now
                            + Math.max(
                                    GONE_PROBE_PERIOD_NANOS,
                                    mRandom.nextLong(2 * meanPeriodNanos + 1));
            Member goneMember = mTable.randomGoneMember();
            if (goneMember != null) {
                probe(goneMember, goneMember, now);
            }
        }
        verifyNextClaim(now);
    }

    void onPing(Envelope e) {
        Envelope.Builder ack = mMessenger.newMessage();
        ack.setAck(Ack.newBuilder().setSequence(e.getPing().getSequence()));
        attachClaim(ack, e);
        mMessenger.sendDatagram(e.getReplyAddress(), ack);
    }

    void onPingRequest(Envelope e, long now) {
        if (mRelays.size() >= MAX_RELAYS) {
            return;
        }
        PingRequest r = e.getPingRequest();
        long sequence = mMessenger.nextSequence();
        mRelays.put(
                sequence,
                new Relay(r.getTargetNodeId(), e.getReplyAddress(), r.getSequence(), now));
        ping(r.getTargetAddress(), mTable.get(r.getTargetNodeId()), sequence);
    }

    void onAck(Envelope e) {
        long sequence = e.getAck().getSequence();
        Relay relay = mRelays.remove(sequence);
        if (relay != null && relay.targetId().equals(e.getFrom().getNodeId())) {
            Envelope.Builder ack = mMessenger.newMessage();
            ack.setAck(Ack.newBuilder().setSequence(relay.sequence()));
            mMessenger.sendDatagram(relay.requesterAddress(), ack);
            return;
        }
        Probe p = mProbes.get(sequence);
        if (p == null) {
            return;
        }
        boolean fromTarget = p.target().nodeId().equals(e.getFrom().getNodeId());
        boolean stale = e.getFrom().getIncarnation() < p.target().node().incarnation();
        if (fromTarget ? !stale : p.indirect()) {
            mProbes.remove(sequence);
            mListener.onSuccess(p.target());
        }
    }

    /** Attaches a negative or newer record of the sender, so that the sender can refute it. */
    private void attachClaim(Envelope.Builder ack, Envelope e) {
        Member known = mTable.get(e.getFrom().getNodeId());
        if (known == null) {
            return;
        }
        boolean newer = known.node().incarnation() > e.getFrom().getIncarnation();
        if (newer || needsRefutation(known)) {
            ack.addUpdates(MemberCodec.toShort(known));
        }
    }

    private static boolean needsRefutation(Member m) {
        return m.liveness() != Member.Liveness.ALIVE || m.state() == Member.State.LEFT;
    }

    private void probe(Member target, Member claim, long now) {
        long sequence = mMessenger.nextSequence();
        mProbes.put(sequence, new Probe(target, now, false));
        ping(target.addresses().control(), claim, sequence);
    }

    private void ping(String address, Member claim, long sequence) {
        Envelope.Builder ping = mMessenger.newMessage();
        ping.setPing(Ping.newBuilder().setSequence(sequence));
        if (claim != null && needsRefutation(claim)) {
            ping.addUpdates(MemberCodec.toShort(claim));
        }
        mMessenger.sendDatagram(address, ping);
    }

    private void verifyNextClaim(long now) {
        Iterator<Member> it = mClaimsToVerify.values().iterator();
        while (it.hasNext()) {
            Member claim = it.next();
            it.remove();
            Member known = mTable.get(claim.nodeId());
            if (known != null && !known.isGone() && Member.compare(claim, known) > 0) {
                probe(known, claim, now);
                return;
            }
        }
    }

    private void expireProbes(long now) {
        mRelays.values().removeIf(r -> now - r.startedAtNanos() > PROBE_TIMEOUT_NANOS);
        List<Member> failed = new ArrayList<>();
        for (Iterator<Map.Entry<Long, Probe>> it = mProbes.entrySet().iterator(); it.hasNext(); ) {
            Map.Entry<Long, Probe> e = it.next();
            Probe p = e.getValue();
            long age = now - p.startedAtNanos();
            if (age >= PROBE_TIMEOUT_NANOS) {
                it.remove();
                failed.add(p.target());
            } else if (age >= DIRECT_TIMEOUT_NANOS && !p.indirect() && !p.target().isGone()) {
                e.setValue(new Probe(p.target(), p.startedAtNanos(), true));
                sendPingRequests(p.target(), e.getKey());
            }
        }
        failed.forEach(mListener::onFailure);
    }

    private void sendPingRequests(Member target, long sequence) {
        for (Member relay : mTable.randomPeers(INDIRECT_PROBES, target.nodeId())) {
            Envelope.Builder request = mMessenger.newMessage();
            request.setPingRequest(
                    PingRequest.newBuilder()
                            .setSequence(sequence)
                            .setTargetNodeId(target.nodeId())
                            .setTargetAddress(target.addresses().control()));
            mMessenger.sendDatagram(relay.addresses().control(), request);
        }
    }

    /** Returns the next peer of a round in random order; each peer waits at most two rounds. */
    private Member nextTarget() {
        boolean shuffled = false;
        while (true) {
            String id = mProbeOrder.poll();
            if (id == null) {
                if (shuffled || mTable.peers().isEmpty()) {
                    return null;
                }
                shuffled = true;
                List<String> ids = new ArrayList<>();
                mTable.peers().forEach(m -> ids.add(m.nodeId()));
                Collections.shuffle(ids, new Random(mRandom.nextLong()));
                mProbeOrder.addAll(ids);
                continue;
            }
            Member m = mTable.get(id);
            if (m != null && !m.isGone()) {
                return m;
            }
        }
    }
}
