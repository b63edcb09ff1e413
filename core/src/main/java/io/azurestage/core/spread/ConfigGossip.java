package io.azurestage.core.spread;

import io.azurestage.core.membership.Member;
import io.azurestage.core.membership.Membership;
import io.azurestage.core.membership.MessageSink;
import io.azurestage.core.membership.Transport;
import io.azurestage.core.time.TimeSource;
import io.azurestage.wire.generated.ConfigRecordWire;
import io.azurestage.wire.generated.ConfigRequest;
import io.azurestage.wire.generated.ConfigVersion;
import io.azurestage.wire.generated.Envelope;
import io.azurestage.wire.generated.NodeRef;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Gossip protocol that distributes the configuration between nodes: a state machine driven by
 * {@link #tick}, {@link #offer} and {@link #receive}. Not thread-safe.
 *
 * <p>A version that was offered locally is sent with its document to {@value #FANOUT} members. A
 * version received from another node is only announced to {@value #FANOUT} members, which request
 * the document if they lack it, so that each node receives the document about once.
 */
public final class ConfigGossip {
    private static final int FANOUT = 4;
    private static final long REQUEST_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final int MAX_SOURCES = 4;

    /** Unanswered requests after which a version is considered lost with the nodes that held it. */
    private static final int MAX_REQUESTS = 10;

    private final Membership mMembership;
    private final TimeSource mTime;
    private final RandomGenerator mRandom;
    private final MessageSink mSink;
    private final ConfigListener mListener;
    private final NodeRef mSelf;
    private final ArrayDeque<String> mSources = new ArrayDeque<>();
    private ConfigRecord mCurrent;
    private ConfigRecordWire mCurrentWire;
    private VersionId mVersion = VersionId.NONE;
    private VersionId mHighestSeen = VersionId.NONE;
    private VersionId mRequestedVersion = VersionId.NONE;
    private VersionId mConflictWinner = VersionId.NONE;
    private VersionId mConflictLoser = VersionId.NONE;
    private long mRequestedAtNanos;
    private int mRequestCount;

    /**
     * Creates the protocol state of a node that holds no version.
     *
     * @param membership this node's membership, driven by the same thread
     * @param time source of time; only the monotonic clock is read
     * @param random source of random choices
     * @param sink receives the messages to send; it adds {@link #wireVersion} to each of them
     * @param listener receives adopted versions and conflicts
     */
    public ConfigGossip(
            Membership membership,
            TimeSource time,
            RandomGenerator random,
            MessageSink sink,
            ConfigListener listener) {
        mMembership = membership;
        mTime = time;
        mRandom = random;
        mSink = sink;
        mListener = listener;
        Member self = membership.self();
        mSelf =
                NodeRef.newBuilder()
                        .setNodeId(self.nodeId())
                        .setIncarnation(self.node().incarnation())
                        .build();
    }

    /**
     * Offers a version that was accepted by the store or pushed to this node.
     *
     * @param record the version
     * @return true if it is higher than the one in force and was adopted
     * @throws IllegalArgumentException if the document is longer than {@link
     *     ConfigRecord#MAX_DOCUMENT_BYTES}
     */
    public boolean offer(ConfigRecord record) {
        if (record.version().compareTo(mVersion) <= 0) {
            checkConflict(record.version());
            return false;
        }
        ConfigRecordWire wire = RecordCodec.toWire(record);
        adopt(record, wire);
        sendToTargets(true);
        return true;
    }

    /**
     * Handles a received message: the version it carries, and its body if that is part of this
     * protocol.
     *
     * @param e an authenticated message
     */
    public void receive(Envelope e) {
        if (e.getBodyCase() == Envelope.BodyCase.CONFIG_RECORD) {
            onRecord(e.getConfigRecord());
        }
        VersionId senderVersion = RecordCodec.fromWire(e.getConfigVersion());
        checkConflict(senderVersion);
        String sender = e.getReplyAddress();
        if (senderVersion.compareTo(mVersion) > 0) {
            onHigherVersion(senderVersion, sender);
        } else if (e.getBodyCase() == Envelope.BodyCase.CONFIG_REQUEST) {
            VersionId have = RecordCodec.fromWire(e.getConfigRequest().getHave());
            if (mVersion.compareTo(have) > 0) {
                sendRecord(sender);
            }
        }
    }

    /**
     * Sends the request to another member if it was not answered in time. To be called about every
     * 100 ms.
     */
    public void tick() {
        if (!isBehind()) {
            return;
        }
        if (mTime.nanos() - mRequestedAtNanos < REQUEST_TIMEOUT_NANOS) {
            return;
        }
        if (mRequestCount >= MAX_REQUESTS) {
            mHighestSeen = mVersion;
            mRequestedVersion = VersionId.NONE;
            mSources.clear();
            return;
        }
        mSources.poll();
        request(nextSource());
    }

    /**
     * Returns the version in force.
     *
     * @return the record, empty until a version has been adopted
     */
    public Optional<ConfigRecord> current() {
        return Optional.ofNullable(mCurrent);
    }

    /**
     * Returns the id of the version in force.
     *
     * @return number and change id, {@link VersionId#NONE} until a version has been adopted
     */
    public VersionId version() {
        return mVersion;
    }

    /**
     * Returns the version that every message carries.
     *
     * @return {@link #version} in wire format
     */
    public ConfigVersion wireVersion() {
        return RecordCodec.toWire(mVersion);
    }

    /**
     * Tells whether another node has announced a higher version that this node does not hold.
     *
     * @return true while this node requests that version
     */
    public boolean isBehind() {
        return mHighestSeen.compareTo(mVersion) > 0;
    }

    private void onRecord(ConfigRecordWire wire) {
        if (wire.getNumber() < mVersion.number()) {
            return;
        }
        Optional<ConfigRecord> record = RecordCodec.fromWire(wire);
        if (record.isEmpty()) {
            return;
        }
        checkConflict(record.get().version());
        if (record.get().version().compareTo(mVersion) > 0) {
            adopt(record.get(), wire);
            sendToTargets(false);
        }
    }

    private void adopt(ConfigRecord record, ConfigRecordWire wire) {
        checkConflict(record.version());
        mCurrent = record;
        mCurrentWire = wire;
        mVersion = record.version();
        if (!isBehind()) {
            mHighestSeen = mVersion;
            mSources.clear();
        }
        mListener.onAdopted(record);
    }

    private void checkConflict(VersionId other) {
        boolean conflict =
                other.number() > 0
                        && other.number() == mVersion.number()
                        && !other.changeId().equals(mVersion.changeId());
        if (!conflict) {
            return;
        }
        boolean ownLoses = other.compareTo(mVersion) > 0;
        VersionId winner = ownLoses ? other : mVersion;
        VersionId loser = ownLoses ? mVersion : other;
        if (!winner.equals(mConflictWinner) || !loser.equals(mConflictLoser)) {
            mConflictWinner = winner;
            mConflictLoser = loser;
            mListener.onConflict(winner, loser);
        }
    }

    private void onHigherVersion(VersionId senderVersion, String sender) {
        if (senderVersion.compareTo(mHighestSeen) > 0) {
            mHighestSeen = senderVersion;
            mSources.clear();
            mRequestCount = 0;
        }
        if (senderVersion.equals(mHighestSeen)
                && mSources.size() < MAX_SOURCES
                && !mSources.contains(sender)) {
            mSources.add(sender);
        }
        if (mHighestSeen.compareTo(mRequestedVersion) > 0) {
            request(sender);
        }
    }

    private String nextSource() {
        if (!mSources.isEmpty()) {
            return mSources.peek();
        }
        List<Member> peers = mMembership.peers();
        return peers.isEmpty()
                ? null
                : peers.get(mRandom.nextInt(peers.size())).addresses().control();
    }

    private void request(String address) {
        mRequestedAtNanos = mTime.nanos();
        mRequestedVersion = mHighestSeen;
        mRequestCount++;
        if (address != null) {
            ConfigRequest r = ConfigRequest.newBuilder().setHave(wireVersion()).build();
            mSink.send(address, message().setConfigRequest(r), Transport.TCP);
        }
    }

    private void sendRecord(String address) {
        mSink.send(address, message().setConfigRecord(RecordCodec.toWire(mCurrent)), Transport.TCP);
    }

    private void sendToTargets(boolean withDocument) {
        for (Member m : chooseTargets()) {
            if (withDocument) {
                sendRecord(m.addresses().control());
            } else {
                mSink.send(m.addresses().control(), message(), Transport.UDP);
            }
        }
    }

    /**
     * Chooses random peers, including one in another data centre and one in another region if there
     * are any.
     */
    private List<Member> chooseTargets() {
        List<Member> peers = mMembership.peers();
        Member.Location ownLocation = mMembership.self().location();
        List<Member> chosen = new ArrayList<>();
        addRandom(chosen, peers.stream().filter(m -> !sameRegion(m, ownLocation)).toList());
        addRandom(chosen, peers.stream().filter(m -> !sameDataCentre(m, ownLocation)).toList());
        for (int i = 0; i < 4 * FANOUT && chosen.size() < Math.min(FANOUT, peers.size()); i++) {
            addRandom(chosen, peers);
        }
        return chosen;
    }

    private void addRandom(List<Member> chosen, List<Member> candidates) {
        if (!candidates.isEmpty()) {
            Member m = candidates.get(mRandom.nextInt(candidates.size()));
            if (!chosen.contains(m)) {
                chosen.add(m);
            }
        }
    }

    private static boolean sameRegion(Member m, Member.Location ownLocation) {
        return m.location().region().equals(ownLocation.region());
    }

    private static boolean sameDataCentre(Member m, Member.Location ownLocation) {
        return m.location().equals(ownLocation);
    }

    private Envelope.Builder message() {
        return Envelope.newBuilder()
                .setFrom(mSelf)
                .setReplyAddress(mMembership.self().addresses().control());
    }
}
