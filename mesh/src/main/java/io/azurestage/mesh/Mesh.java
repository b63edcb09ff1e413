package io.azurestage.mesh;

import io.azurestage.core.membership.Member;
import io.azurestage.core.membership.Member.Addresses;
import io.azurestage.core.membership.Membership;
import io.azurestage.core.membership.MembershipListener;
import io.azurestage.core.membership.MessageSink;
import io.azurestage.core.membership.Transport;
import io.azurestage.core.spread.ConfigGossip;
import io.azurestage.core.spread.ConfigListener;
import io.azurestage.core.spread.ConfigRecord;
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
 * Exchanges membership and configuration with the other nodes of the mesh over UDP and TCP.
 * Thread-safe; the getters return snapshots that are at most a few milliseconds old.
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
    /** Maximum bytes of received messages that are queued for the membership thread. */
    private static final long MAX_QUEUED_BYTES = 16L << 20;

    private record Snapshot(
            Member self,
            List<Member> members,
            Optional<ConfigRecord> config,
            boolean configBehind,
            int syncedMembers,
            int knownMembers,
            boolean isolated) {}

    private final Counters mCounters = new Counters();
    private final AtomicLong mQueuedBytes = new AtomicLong();
    private final EnvelopeCodec mCodec;
    private final ControlTransport mNetwork;
    private final HybridClock mClock;
    private final Membership mMembership;
    private final ConfigGossip mConfigGossip;
    private final MembershipLoop mLoop;
    private volatile Snapshot mSnapshot;

    private Mesh(MeshSettings s, MembershipListener members, ConfigListener configs) {
        mClock = s.clock();
        mCodec = new EnvelopeCodec(s.signer(), mCounters);
        mNetwork = new ControlTransport(mCounters);
        Member self = s.self();
        // Messages that arrive before the loop starts wait in its queue.
        mLoop = new MembershipLoop(this::tick, this::publish, mCounters);
        int port = mNetwork.open(self.addresses().control(), mCodec, this::onReceived);
        self = withPort(self, port);
        MessageSink sink = this::send;
        mMembership = new Membership(self, s.time(), s.random(), sink, members);
        mConfigGossip = new ConfigGossip(mMembership, s.time(), s.random(), sink, configs);
        publish();
    }

    /**
     * Opens the control port and starts the threads.
     *
     * @param settings this node's initial record, signer, time source and random source
     * @param members receives membership changes, on the membership thread
     * @param configs receives adopted configuration versions, on the membership thread
     * @return the running mesh
     * @throws MeshStartException if the control port cannot be opened
     */
    public static Mesh start(
            MeshSettings settings, MembershipListener members, ConfigListener configs) {
        Mesh mesh = new Mesh(settings, members, configs);
        mesh.mLoop.start();
        return mesh;
    }

    /**
     * Returns this node's membership record, with the control port that was opened.
     *
     * @return the current record
     */
    public Member self() {
        return mSnapshot.self();
    }

    /**
     * Returns all members, including this node and dead members that are still remembered.
     *
     * @return an immutable snapshot
     */
    public List<Member> members() {
        return mSnapshot.members();
    }

    /**
     * Returns the current configuration version.
     *
     * @return the record, or empty until a version has been adopted
     */
    public Optional<ConfigRecord> config() {
        return mSnapshot.config();
    }

    /**
     * Reports whether another node announced a higher configuration version that this node has not
     * received yet.
     *
     * @return true while the version is being requested
     */
    public boolean isBehind() {
        return mSnapshot.configBehind();
    }

    /**
     * Returns the number of members with which this node has synchronised its membership table
     * since it started.
     *
     * @return number of distinct node ids
     */
    public int syncedMembers() {
        return mSnapshot.syncedMembers();
    }

    /**
     * Returns how many other members are neither dead nor left.
     *
     * @return number of members
     */
    public int knownMembers() {
        return mSnapshot.knownMembers();
    }

    /**
     * Reports whether most of this node's own probes fail.
     *
     * @return true if they fail; this node then declares no member dead
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
     * Offers a configuration version that was read from the store or accepted in a push; it is
     * adopted if it is higher than the current one.
     *
     * @param record the version
     * @return the current version afterwards; fails with {@link IllegalArgumentException} if the
     *     document is too long, and with {@link RejectedExecutionException} if the mesh is closed
     *     or overloaded
     */
    public CompletableFuture<ConfigRecord> offerConfig(ConfigRecord record) {
        return submit(
                () -> {
                    mConfigGossip.offer(record);
                    return mConfigGossip.current().orElseThrow();
                });
    }

    /**
     * Announces a new state of this node.
     *
     * @param state the new state
     * @return completes when the first announcements have been handed to the network; fails with
     *     {@link RejectedExecutionException} if the mesh is closed or overloaded
     */
    public CompletableFuture<Member> setState(Member.State state) {
        return submit(
                () -> {
                    mMembership.setState(state);
                    return mMembership.self();
                });
    }

    /**
     * Adds seed addresses through which this node joins the mesh.
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

    /**
     * Stops the threads and closes the control port. The other nodes are not notified; to leave the
     * mesh, call {@link #setState} first.
     */
    @Override
    public void close() {
        mLoop.close();
        mNetwork.close();
    }

    private <T> CompletableFuture<T> submit(Supplier<T> call) {
        CompletableFuture<T> result = new CompletableFuture<>();
        boolean accepted =
                mLoop.offer(
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
        if (mQueuedBytes.addAndGet(bytes) > MAX_QUEUED_BYTES) {
            mQueuedBytes.addAndGet(-bytes);
            mCounters.mOverflowed.increment();
            return;
        }
        if (!mLoop.offer(() -> handle(e, bytes))) {
            mQueuedBytes.addAndGet(-bytes);
        }
    }

    private void handle(Envelope e, int bytes) {
        mQueuedBytes.addAndGet(-bytes);
        mClock.receive(new HlcTime(e.getHlc().getMillis(), e.getHlc().getCounter()));
        mMembership.receive(e);
        mConfigGossip.receive(e);
    }

    private void tick() {
        mMembership.tick();
        mConfigGossip.tick();
    }

    private void publish() {
        Snapshot old = mSnapshot;
        Snapshot s =
                new Snapshot(
                        mMembership.self(),
                        mMembership.members(),
                        mConfigGossip.current(),
                        mConfigGossip.isBehind(),
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
        message.setConfigVersion(mConfigGossip.wireVersion());
        mNetwork.send(address, mCodec.encode(message.build()), transport);
    }

    private static Member withPort(Member m, int port) {
        String control = m.addresses().control();
        String host = control.substring(0, control.lastIndexOf(':'));
        return m.withAddresses(
                new Addresses(m.addresses().ingress(), host + ":" + port, m.addresses().admin()));
    }
}
