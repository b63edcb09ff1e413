package io.azurestage.mesh;

import io.azurestage.core.membership.Member;
import io.azurestage.core.membership.Member.Addresses;
import io.azurestage.core.membership.Membership;
import io.azurestage.core.membership.MembershipListener;
import io.azurestage.core.membership.MessageSink;
import io.azurestage.core.membership.Transport;
import io.azurestage.core.spread.ConfigRecord;
import io.azurestage.core.spread.ConfigSpread;
import io.azurestage.core.spread.SpreadListener;
import io.azurestage.core.time.HlcTime;
import io.azurestage.core.time.HybridClock;
import io.azurestage.wire.generated.Envelope;
import io.azurestage.wire.generated.Hlc;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

/**
 * One node's part of the mesh: membership and configuration over UDP and TCP. Thread-safe; the
 * getters return snapshots that are at most a few milliseconds old.
 *
 * <p>Example:
 *
 * <pre>{@code
 * Mesh mesh = Mesh.start(settings, membershipListener, spreadListener);
 * mesh.addSeeds(List.of("10.0.0.1:7400"));
 * mesh.setState(Member.State.SERVING);
 * }</pre>
 */
public final class Mesh implements AutoCloseable {
    /** Bytes of received messages that wait for the membership duty. */
    private static final long MAX_WAITING_BYTES = 16L << 20;

    private record Snapshot(
            Member self,
            List<Member> members,
            Optional<ConfigRecord> config,
            boolean behind,
            int synced,
            int known,
            boolean isolated) {}

    private final Counters mCounters = new Counters();
    private final AtomicLong mWaitingBytes = new AtomicLong();
    private final EnvelopeCodec mCodec;
    private final ControlTransport mNetwork;
    private final HybridClock mClock;
    private final Membership mMembership;
    private final ConfigSpread mSpread;
    private final MembershipLoop mDuty;
    private volatile Snapshot mSnapshot;

    private Mesh(MeshSettings s, MembershipListener members, SpreadListener configs) {
        mClock = s.clock();
        mCodec = new EnvelopeCodec(s.signer(), mCounters);
        mNetwork = new ControlTransport(mCounters);
        Member self = s.self();
        // Messages that arrive before the duty starts wait in its ring.
        mDuty = new MembershipLoop(this::tick, this::publish, mCounters);
        int port = mNetwork.open(self.addresses().control(), mCodec, this::onReceived);
        self = withPort(self, port);
        MessageSink sink = this::send;
        mMembership = new Membership(self, s.time(), s.random(), sink, members);
        mSpread = new ConfigSpread(mMembership, s.time(), s.random(), sink, configs);
        publish();
    }

    /**
     * Opens the control port and starts the threads.
     *
     * @param settings who this node is and how messages are signed
     * @param members receives changes of the membership, on the membership duty
     * @param configs receives configuration versions, on the membership duty
     * @return the running mesh
     * @throws MeshStartException if the control port is in use
     */
    public static Mesh start(
            MeshSettings settings, MembershipListener members, SpreadListener configs) {
        Mesh mesh = new Mesh(settings, members, configs);
        mesh.mDuty.start();
        return mesh;
    }

    /**
     * Returns this node's record, with the port that was opened.
     *
     * @return the record in force
     */
    public Member self() {
        return mSnapshot.self();
    }

    /**
     * Returns all members, this node and the remembered dead included.
     *
     * @return an immutable snapshot
     */
    public List<Member> members() {
        return mSnapshot.members();
    }

    /**
     * Returns the configuration version in force.
     *
     * @return the record, empty until one was adopted
     */
    public Optional<ConfigRecord> config() {
        return mSnapshot.config();
    }

    /**
     * Tells whether another node showed a higher configuration version that is not here yet.
     *
     * @return true while the version is being asked for
     */
    public boolean isBehind() {
        return mSnapshot.behind();
    }

    /**
     * Returns with how many members this node has compared its table since it started.
     *
     * @return number of different node ids
     */
    public int syncedMembers() {
        return mSnapshot.synced();
    }

    /**
     * Returns how many other members are neither dead nor left.
     *
     * @return number of members
     */
    public int knownMembers() {
        return mSnapshot.known();
    }

    /**
     * Tells whether most of this node's own probes fail.
     *
     * @return true while this node declares nobody dead
     */
    public boolean isIsolated() {
        return mSnapshot.isolated();
    }

    /**
     * Returns the counters.
     *
     * @return counters since the start
     */
    public MeshStats stats() {
        return mCounters.snapshot();
    }

    /**
     * Offers a version that the store or a pusher accepted; it is adopted if it is higher than the
     * one in force.
     *
     * @param record the version
     * @return the version in force afterwards; fails with {@link IllegalArgumentException} if the
     *     document is too long, and with {@link RejectedExecutionException} if the mesh is closed
     *     or overloaded
     */
    public CompletableFuture<ConfigRecord> offerConfig(ConfigRecord record) {
        return submit(
                () -> {
                    mSpread.offer(record);
                    return mSpread.current().orElseThrow();
                });
    }

    /**
     * Announces a new state of this node.
     *
     * @param state the new state
     * @return completes when the first announcements were handed to the network; fails with {@link
     *     RejectedExecutionException} if the mesh is closed or overloaded
     */
    public CompletableFuture<Member> setState(Member.State state) {
        return submit(
                () -> {
                    mMembership.setState(state);
                    return mMembership.self();
                });
    }

    /**
     * Adds addresses to join through.
     *
     * @param addresses control addresses, {@code IP:PORT}
     * @return completes when the addresses are in use; fails with {@link
     *     RejectedExecutionException} if the mesh is closed or overloaded
     */
    public CompletableFuture<Void> addSeeds(Collection<String> addresses) {
        List<String> copy = List.copyOf(addresses);
        return submit(
                () -> {
                    mMembership.addSeeds(copy);
                    return null;
                });
    }

    /** Stops the threads and closes the port. Announces nothing: set the state before. */
    @Override
    public void close() {
        mDuty.close();
        mNetwork.close();
    }

    private <T> CompletableFuture<T> submit(Supplier<T> call) {
        CompletableFuture<T> result = new CompletableFuture<>();
        boolean accepted =
                mDuty.offer(
                        () -> {
                            try {
                                T value = call.get();
                                publish();
                                result.complete(value);
                            } catch (RuntimeException e) {
                                result.completeExceptionally(e);
                            }
                        });
        if (!accepted) {
            result.completeExceptionally(
                    new RejectedExecutionException("the mesh is closed or overloaded; try again"));
        }
        return result;
    }

    private void onReceived(Envelope e, int bytes) {
        if (mWaitingBytes.addAndGet(bytes) > MAX_WAITING_BYTES) {
            mWaitingBytes.addAndGet(-bytes);
            mCounters.mOverflowed.increment();
            return;
        }
        if (!mDuty.offer(() -> handle(e, bytes))) {
            mWaitingBytes.addAndGet(-bytes);
        }
    }

    private void handle(Envelope e, int bytes) {
        mWaitingBytes.addAndGet(-bytes);
        mClock.receive(new HlcTime(e.getHlc().getMillis(), e.getHlc().getCounter()));
        mMembership.receive(e);
        mSpread.receive(e);
    }

    private void tick() {
        mMembership.tick();
        mSpread.tick();
    }

    private void publish() {
        Snapshot old = mSnapshot;
        Snapshot s =
                new Snapshot(
                        mMembership.self(),
                        mMembership.members(),
                        mSpread.current(),
                        mSpread.isBehind(),
                        mMembership.syncedMembers(),
                        mMembership.peers().size(),
                        mMembership.isIsolated());
        if (old == null || old.members() != s.members() || !old.equals(s)) {
            mSnapshot = s;
        }
    }

    private void send(String address, Envelope.Builder message, Transport transport) {
        HlcTime t = mClock.tick();
        message.setHlc(Hlc.newBuilder().setMillis(t.millis()).setCounter(t.counter()));
        message.setConfigVersion(mSpread.stamp());
        mNetwork.send(address, mCodec.encode(message.build()), transport);
    }

    private static Member withPort(Member m, int port) {
        String control = m.addresses().control();
        String host = control.substring(0, control.lastIndexOf(':'));
        return m.withAddresses(
                new Addresses(m.addresses().ingress(), host + ":" + port, m.addresses().admin()));
    }
}
