package io.azurestage.core.spread;

import com.google.protobuf.ByteString;
import io.azurestage.core.membership.Member;
import io.azurestage.core.membership.Membership;
import io.azurestage.core.membership.MessageSink;
import io.azurestage.core.membership.Transport;
import io.azurestage.core.time.TimeSource;
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
 * Spread of the configuration from node to node: a state machine that is driven by {@link #tick},
 * {@link #offer} and {@link #receive}. Not thread-safe.
 *
 * <p>A version that was offered locally is sent with its document to {@value #FANOUT} members. A
 * version that came from another node is only announced to {@value #FANOUT} members, which ask for
 * the document when they lack it; so the document reaches each node about once.
 */
public final class ConfigSpread {
    private static final int FANOUT = 4;
    private static final long ANSWER_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final int MAX_SOURCES = 4;

    /** Requests for a version before it counts as lost together with its last holder. */
    private static final int MAX_REQUESTS = 10;

    private final Membership mMembership;
    private final TimeSource mTime;
    private final RandomGenerator mRandom;
    private final MessageSink mSink;
    private final SpreadListener mListener;
    private final NodeRef mFrom;
    private final ArrayDeque<String> mSources = new ArrayDeque<>();
    private ConfigRecord mCurrent;
    private VersionId mVersion = VersionId.NONE;
    private VersionId mHighestSeen = VersionId.NONE;
    private VersionId mRequested = VersionId.NONE;
    private VersionId mConflictWinner = VersionId.NONE;
    private VersionId mConflictLoser = VersionId.NONE;
    private long mRequestedAt;
    private int mRequests;

    /**
     * Creates the spread of a node that holds no version.
     *
     * @param membership this node's membership, driven by the same thread
     * @param time source of time; only the monotonic part is read
     * @param random source of random choices
     * @param sink takes the messages to send; it adds {@link #version} to each of them
     * @param listener receives versions
     */
    public ConfigSpread(
            Membership membership,
            TimeSource time,
            RandomGenerator random,
            MessageSink sink,
            SpreadListener listener) {
        mMembership = membership;
        mTime = time;
        mRandom = random;
        mSink = sink;
        mListener = listener;
        Member self = membership.self();
        mFrom =
                NodeRef.newBuilder()
                        .setNodeId(self.nodeId())
                        .setIncarnation(self.node().incarnation())
                        .build();
    }

    /**
     * Offers a version that the store or a pusher accepted.
     *
     * @param record the version
     * @return true if it is higher than the one in force and was adopted
     * @throws IllegalArgumentException if the document is longer than 1 MB
     */
    public boolean offer(ConfigRecord record) {
        if (!RecordCodec.fits(ByteString.copyFromUtf8(record.document()).size())) {
            throw new IllegalArgumentException(
                    "the document of configuration version "
                            + record.number()
                            + " is longer than "
                            + ConfigRecord.MAX_DOCUMENT_BYTES
                            + " bytes; remove unused services or partners");
        }
        if (!adopt(record)) {
            return false;
        }
        forward(true);
        return true;
    }

    /**
     * Handles a message: its version stamp, and its body if that belongs to the configuration.
     *
     * @param e a message whose authentication code was checked
     */
    public void receive(Envelope e) {
        if (e.getBodyCase() == Envelope.BodyCase.CONFIG_RECORD) {
            RecordCodec.fromWire(e.getConfigRecord())
                    .filter(this::adopt)
                    .ifPresent(r -> forward(false));
        }
        VersionId shown = RecordCodec.fromWire(e.getConfigVersion());
        checkConflict(shown);
        String sender = e.getReplyAddress();
        if (shown.compareTo(mVersion) > 0) {
            onHigher(shown, sender);
        } else if (e.getBodyCase() == Envelope.BodyCase.CONFIG_REQUEST) {
            VersionId have = RecordCodec.fromWire(e.getConfigRequest().getHave());
            if (mVersion.compareTo(have) > 0) {
                sendRecord(sender);
            }
        }
    }

    /** Asks another member when a request was not answered. Call it about every 100 ms. */
    public void tick() {
        if (!isBehind()) {
            return;
        }
        if (mTime.nanos() - mRequestedAt < ANSWER_NANOS) {
            return;
        }
        if (mRequests >= MAX_REQUESTS) {
            mHighestSeen = mVersion;
            mRequested = VersionId.NONE;
            mSources.clear();
            return;
        }
        mSources.poll();
        request(nextSource());
    }

    /**
     * Returns the version in force.
     *
     * @return the record, empty until the first one was adopted
     */
    public Optional<ConfigRecord> current() {
        return Optional.ofNullable(mCurrent);
    }

    /**
     * Returns the identity of the version in force, for the stamp on every message.
     *
     * @return number and change id
     */
    public VersionId version() {
        return mVersion;
    }

    /**
     * Returns the stamp that every message carries.
     *
     * @return {@link #version} as a message
     */
    public ConfigVersion stamp() {
        return RecordCodec.toWire(mVersion);
    }

    /**
     * Tells whether another node showed a higher version that this node does not hold yet.
     *
     * @return true while this node asks for it
     */
    public boolean isBehind() {
        return mHighestSeen.compareTo(mVersion) > 0;
    }

    private boolean adopt(ConfigRecord record) {
        checkConflict(record.version());
        if (record.version().compareTo(mVersion) <= 0) {
            return false;
        }
        mCurrent = record;
        mVersion = record.version();
        if (!isBehind()) {
            mHighestSeen = mVersion;
            mSources.clear();
        }
        mListener.onAdopted(record);
        return true;
    }

    private void checkConflict(VersionId other) {
        boolean conflict =
                other.number() > 0
                        && other.number() == mVersion.number()
                        && !other.changeId().equals(mVersion.changeId());
        if (!conflict) {
            return;
        }
        boolean lost = other.compareTo(mVersion) > 0;
        VersionId winner = lost ? other : mVersion;
        VersionId loser = lost ? mVersion : other;
        if (!winner.equals(mConflictWinner) || !loser.equals(mConflictLoser)) {
            mConflictWinner = winner;
            mConflictLoser = loser;
            mListener.onConflict(winner, loser);
        }
    }

    private void onHigher(VersionId shown, String sender) {
        if (shown.compareTo(mHighestSeen) > 0) {
            mHighestSeen = shown;
            mSources.clear();
            mRequests = 0;
        }
        if (shown.equals(mHighestSeen)
                && mSources.size() < MAX_SOURCES
                && !mSources.contains(sender)) {
            mSources.add(sender);
        }
        if (mHighestSeen.compareTo(mRequested) > 0) {
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
        mRequestedAt = mTime.nanos();
        mRequested = mHighestSeen;
        mRequests++;
        if (address != null) {
            ConfigRequest r = ConfigRequest.newBuilder().setHave(stamp()).build();
            mSink.send(address, message().setConfigRequest(r), Transport.TCP);
        }
    }

    private void sendRecord(String address) {
        mSink.send(address, message().setConfigRecord(RecordCodec.toWire(mCurrent)), Transport.TCP);
    }

    private void forward(boolean withDocument) {
        for (Member m : targets()) {
            if (withDocument) {
                sendRecord(m.addresses().control());
            } else {
                mSink.send(m.addresses().control(), message(), Transport.UDP);
            }
        }
    }

    /** Random peers, at least one in another data centre and one in another region if any are. */
    private List<Member> targets() {
        List<Member> peers = mMembership.peers();
        Member.Location here = mMembership.self().location();
        List<Member> chosen = new ArrayList<>();
        choose(chosen, peers.stream().filter(m -> !sameRegion(m, here)).toList());
        choose(chosen, peers.stream().filter(m -> !sameDataCentre(m, here)).toList());
        for (int i = 0; i < 4 * FANOUT && chosen.size() < Math.min(FANOUT, peers.size()); i++) {
            choose(chosen, peers);
        }
        return chosen;
    }

    private void choose(List<Member> chosen, List<Member> from) {
        if (!from.isEmpty()) {
            Member m = from.get(mRandom.nextInt(from.size()));
            if (!chosen.contains(m)) {
                chosen.add(m);
            }
        }
    }

    private static boolean sameRegion(Member m, Member.Location here) {
        return m.location().region().equals(here.region());
    }

    private static boolean sameDataCentre(Member m, Member.Location here) {
        return m.location().equals(here);
    }

    private Envelope.Builder message() {
        return Envelope.newBuilder()
                .setFrom(mFrom)
                .setReplyAddress(mMembership.self().addresses().control());
    }
}
