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

/** Failure detector: probes members directly and through others. */
final class Prober {
    private static final long PERIOD_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long DIRECT_NANOS = TimeUnit.MILLISECONDS.toNanos(400);
    private static final long TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(950);
    private static final long GONE_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final int HELPERS = 3;
    private static final int MAX_RELAYS = 256;

    /** Takes the outcome of a probe. */
    interface Outcome {
        void onAnswer(Member target);

        void onFailure(Member target);
    }

    private record Probe(Member target, long startedAt, boolean indirect) {}

    private record Relay(String targetId, String requester, long sequence, long startedAt) {}

    private final MemberTable mTable;
    private final Messenger mMessenger;
    private final RandomGenerator mRandom;
    private final Outcome mOutcome;
    private final Map<Long, Probe> mProbes = new LinkedHashMap<>();
    private final Map<Long, Relay> mRelays = new LinkedHashMap<>();
    private final Map<String, Member> mDoubted = new LinkedHashMap<>();
    private final ArrayDeque<String> mRotation = new ArrayDeque<>();
    private long mNextProbe;
    private long mNextGone;

    Prober(
            MemberTable table,
            Messenger messenger,
            RandomGenerator random,
            Outcome outcome,
            long now) {
        mTable = table;
        mMessenger = messenger;
        mRandom = random;
        mOutcome = outcome;
        mNextProbe = now + random.nextLong(PERIOD_NANOS);
        mNextGone = now + random.nextLong(GONE_PERIOD_NANOS);
    }

    /** Forgets probes in flight, whose answers were lost while this node was paused. */
    void reset(long now) {
        mProbes.clear();
        mRelays.clear();
        mNextProbe = now;
    }

    /** Probes a member soon, and tells it that someone took it for dead. */
    void verify(Member claimed) {
        mDoubted.put(claimed.nodeId(), claimed);
    }

    void tick(long now) {
        expire(now);
        if (now - mNextProbe >= 0) {
            mNextProbe += Math.max(PERIOD_NANOS, now - mNextProbe);
            Member target = nextTarget();
            if (target != null) {
                probe(target, target, now);
            }
        }
        if (now - mNextGone >= 0) {
            mNextGone = now + GONE_PERIOD_NANOS;
            Member gone = mTable.randomGone();
            if (gone != null) {
                probe(gone, gone, now);
            }
        }
        verifyNext(now);
    }

    void onPing(Envelope e) {
        Envelope.Builder ack = mMessenger.message();
        ack.setAck(Ack.newBuilder().setSequence(e.getPing().getSequence()));
        attachIfDoubted(ack, e);
        mMessenger.datagram(e.getReplyAddress(), ack);
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
            Envelope.Builder ack = mMessenger.message();
            ack.setAck(Ack.newBuilder().setSequence(relay.sequence()));
            mMessenger.datagram(relay.requester(), ack);
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
            mOutcome.onAnswer(p.target());
        }
    }

    /** Tells the sender what is said about it, so that it can refute it. */
    private void attachIfDoubted(Envelope.Builder ack, Envelope e) {
        Member known = mTable.get(e.getFrom().getNodeId());
        if (known == null) {
            return;
        }
        boolean newer = known.node().incarnation() > e.getFrom().getIncarnation();
        if (newer || isDoubted(known)) {
            ack.addUpdates(MemberCodec.toShort(known));
        }
    }

    private static boolean isDoubted(Member m) {
        return m.liveness() != Member.Liveness.ALIVE || m.state() == Member.State.LEFT;
    }

    private void probe(Member target, Member claim, long now) {
        long sequence = mMessenger.nextSequence();
        mProbes.put(sequence, new Probe(target, now, false));
        ping(target.addresses().control(), claim, sequence);
    }

    private void ping(String address, Member claim, long sequence) {
        Envelope.Builder ping = mMessenger.message();
        ping.setPing(Ping.newBuilder().setSequence(sequence));
        if (claim != null && isDoubted(claim)) {
            ping.addUpdates(MemberCodec.toShort(claim));
        }
        mMessenger.datagram(address, ping);
    }

    private void verifyNext(long now) {
        Iterator<Member> it = mDoubted.values().iterator();
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

    private void expire(long now) {
        mRelays.values().removeIf(r -> now - r.startedAt() > TIMEOUT_NANOS);
        List<Member> failed = new ArrayList<>();
        for (Iterator<Map.Entry<Long, Probe>> it = mProbes.entrySet().iterator(); it.hasNext(); ) {
            Map.Entry<Long, Probe> e = it.next();
            Probe p = e.getValue();
            long age = now - p.startedAt();
            if (age >= TIMEOUT_NANOS) {
                it.remove();
                failed.add(p.target());
            } else if (age >= DIRECT_NANOS && !p.indirect() && !p.target().isGone()) {
                e.setValue(new Probe(p.target(), p.startedAt(), true));
                askHelpers(p.target(), e.getKey());
            }
        }
        failed.forEach(mOutcome::onFailure);
    }

    private void askHelpers(Member target, long sequence) {
        for (Member helper : mTable.randomPeers(HELPERS, target.nodeId())) {
            Envelope.Builder request = mMessenger.message();
            request.setPingRequest(
                    PingRequest.newBuilder()
                            .setSequence(sequence)
                            .setTargetNodeId(target.nodeId())
                            .setTargetAddress(target.addresses().control()));
            mMessenger.datagram(helper.addresses().control(), request);
        }
    }

    /** Goes through all peers in random order, so that none waits longer than two rounds. */
    private Member nextTarget() {
        boolean shuffled = false;
        while (true) {
            String id = mRotation.poll();
            if (id == null) {
                if (shuffled || mTable.peers().isEmpty()) {
                    return null;
                }
                shuffled = true;
                List<String> ids = new ArrayList<>();
                mTable.peers().forEach(m -> ids.add(m.nodeId()));
                Collections.shuffle(ids, new Random(mRandom.nextLong()));
                mRotation.addAll(ids);
                continue;
            }
            Member m = mTable.get(id);
            if (m != null && !m.isGone()) {
                return m;
            }
        }
    }
}
