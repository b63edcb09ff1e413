package io.azurestage.core.spread;

import io.azurestage.core.context.NodeIdentity;
import io.azurestage.core.membership.Member;
import io.azurestage.core.membership.Membership;
import io.azurestage.core.membership.MembershipListener;
import io.azurestage.core.membership.Transport;
import io.azurestage.core.time.ManualTimeSource;
import io.azurestage.wire.generated.Envelope;
import io.azurestage.wire.generated.Hlc;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.BiPredicate;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;

/**
 * Simulates nodes in virtual time on a network that delays, loses, duplicates and reorders
 * messages.
 */
final class VirtualMesh {
    private static final int SIGNATURE_BYTES = 21;
    private static final int TICK_MILLIS = 100;

    final class Node implements MembershipListener, ConfigListener {
        final String mAddress;
        final Membership mMembership;
        final ConfigGossip mConfigGossip;
        final List<ConfigRecord> mAdopted = new ArrayList<>();
        final List<VersionId> mConflicts = new ArrayList<>();
        final ArrayDeque<Envelope> mReceivedWhilePaused = new ArrayDeque<>();
        final List<String> mReportedDead = new ArrayList<>();
        boolean mPaused;
        boolean mKilled;
        int mRefutations;
        int mIsolations;

        Node(int index, int incarnation) {
            mAddress = address(index);
            Member self =
                    Member.joining(
                            new NodeIdentity("node-" + index, incarnation),
                            "service-" + index % 200,
                            new Member.Addresses("10.0.0.1:8080", mAddress, "10.0.0.1:9090"),
                            new Member.Location("dc-" + index % 8, "region-" + index % 2),
                            100,
                            1_767_225_600_000L);
            Random random = new Random(mRandom.nextLong());
            mMembership = new Membership(self, mTime, random, this::send, this);
            mConfigGossip = new ConfigGossip(mMembership, mTime, random, this::send, this);
        }

        @Override
        public void onChange(Member before, Member after) {
            if (after.liveness() == Member.Liveness.DEAD) {
                mReportedDead.add(after.nodeId());
            }
        }

        @Override
        public void onRefuted(Member self) {
            mRefutations++;
        }

        @Override
        public void onIsolation(boolean isolated) {
            mIsolations += isolated ? 1 : 0;
        }

        @Override
        public void onAdopted(ConfigRecord record) {
            mAdopted.add(record);
        }

        @Override
        public void onConflict(VersionId winner, VersionId loser) {
            mConflicts.add(loser);
        }

        Member view(Node other) {
            String id = other.mMembership.self().nodeId();
            return mMembership.members().stream()
                    .filter(m -> m.nodeId().equals(id))
                    .findFirst()
                    .orElse(null);
        }

        void resume() {
            mPaused = false;
            mReceivedWhilePaused.forEach(this::receive);
            mReceivedWhilePaused.clear();
        }

        private void receive(Envelope e) {
            mMembership.receive(e);
            mConfigGossip.receive(e);
        }

        private void send(String to, Envelope.Builder b, Transport transport) {
            Hlc.Builder hlc = Hlc.newBuilder().setMillis(mTime.now().toEpochMilli()).setCounter(9);
            Envelope e = b.setHlc(hlc).setConfigVersion(mConfigGossip.wireVersion()).build();
            int bytes = e.getSerializedSize() + SIGNATURE_BYTES;
            boolean udp = transport == Transport.UDP;
            if (udp && bytes > 1200) {
                throw new AssertionError("datagram of " + bytes + " bytes exceeds 1200 bytes");
            }
            mMessages++;
            mTcpMessages += udp ? 0 : 1;
            mBytes += bytes;
            if (mDropFilter != null && mDropFilter.test(e)) {
                return;
            }
            int copies = udp && mRandom.nextDouble() < mDuplication ? 2 : 1;
            for (int i = 0; i < copies; i++) {
                if (!udp || mRandom.nextDouble() >= mLoss) {
                    schedule(
                            mMinDelayMillis + mRandom.nextInt(mJitterMillis + 1),
                            () -> deliver(to, e));
                }
            }
        }

        private void deliver(String to, Envelope e) {
            Node target = mNodes.get(to);
            if (target == null || target.mKilled || !mConnectivity.test(mAddress, to)) {
                return;
            }
            if (target.mPaused) {
                target.mReceivedWhilePaused.add(e);
            } else {
                target.receive(e);
            }
        }

        private void tick() {
            if (mKilled) {
                return;
            }
            if (!mPaused) {
                mMembership.tick();
                mConfigGossip.tick();
            }
            schedule(TICK_MILLIS, this::tick);
        }
    }

    private record Task(long millis, long order, Runnable run) implements Comparable<Task> {
        @Override
        public int compareTo(Task o) {
            int c = Long.compare(millis, o.millis);
            return c != 0 ? c : Long.compare(order, o.order);
        }
    }

    final Map<String, Node> mNodes = new LinkedHashMap<>();
    final Random mRandom;
    private final ManualTimeSource mTime = new ManualTimeSource();
    private final PriorityQueue<Task> mTasks = new PriorityQueue<>();
    BiPredicate<String, String> mConnectivity = (a, b) -> true;

    /** Called with each message before it is sent; returns true to drop the message. */
    Predicate<Envelope> mDropFilter;

    double mLoss;
    double mDuplication;
    int mMinDelayMillis = 1;
    int mJitterMillis = 9;
    long mMessages;
    long mTcpMessages;
    long mBytes;
    private long mNowMillis;
    private long mNextOrder;

    VirtualMesh(long seed) {
        mRandom = new Random(seed);
    }

    static String address(int index) {
        return "10." + index / 65_536 + "." + index / 256 % 256 + "." + index % 256 + ":7400";
    }

    /** Starts a node, or a new incarnation of it, with the first nodes as its seeds. */
    Node start(int index, int incarnation, int seeds) {
        Node n = new Node(index, incarnation);
        List<String> addresses = new ArrayList<>();
        for (int i = 0; i < seeds; i++) {
            addresses.add(address(i));
        }
        n.mMembership.addSeeds(addresses);
        mNodes.put(n.mAddress, n);
        schedule(mRandom.nextInt(TICK_MILLIS), n::tick);
        return n;
    }

    void startAll(int n) {
        for (int i = 0; i < n; i++) {
            start(i, 1, Math.min(n, 64));
        }
    }

    Node node(int index) {
        return mNodes.get(address(index));
    }

    List<Node> alive() {
        return mNodes.values().stream().filter(n -> !n.mKilled).toList();
    }

    void clearFaults() {
        mLoss = 0;
        mDuplication = 0;
        mConnectivity = (a, b) -> true;
        alive().forEach(Node::resume);
    }

    long millis() {
        return mNowMillis;
    }

    void run(Duration time) {
        long end = mNowMillis + time.toMillis();
        while (!mTasks.isEmpty() && mTasks.peek().millis() <= end) {
            Task t = mTasks.poll();
            advance(t.millis());
            t.run().run();
        }
        advance(end);
    }

    /** Runs until a condition holds; returns the time taken in ms, or -1 if the limit passed. */
    long runUntil(BooleanSupplier condition, Duration limit) {
        long start = mNowMillis;
        while (mNowMillis - start < limit.toMillis()) {
            if (condition.getAsBoolean()) {
                return mNowMillis - start;
            }
            run(Duration.ofMillis(50));
        }
        return condition.getAsBoolean() ? mNowMillis - start : -1;
    }

    /**
     * Tells whether every alive node holds the current record of every alive node, and, unless it
     * is isolated, counts no other node as alive.
     */
    boolean membersAgree() {
        List<Node> alive = alive();
        Set<Member> currentRecords = new HashSet<>();
        alive.forEach(n -> currentRecords.add(n.mMembership.self()));
        for (Node a : alive) {
            List<Member> members = a.mMembership.members();
            boolean countsAllPeers = a.mMembership.peers().size() == alive.size() - 1;
            if (!countsAllPeers && !a.mMembership.isIsolated()
                    || members.size() < alive.size()
                    || members.stream().filter(currentRecords::contains).count() != alive.size()) {
                return false;
            }
        }
        return true;
    }

    static ConfigRecord record(long number, String changeId, int bytes) {
        return new ConfigRecord(number, changeId, "op", Instant.EPOCH, "x".repeat(bytes));
    }

    private void schedule(long delayMillis, Runnable run) {
        mTasks.add(new Task(mNowMillis + delayMillis, mNextOrder++, run));
    }

    private void advance(long millis) {
        mTime.advance(Duration.ofMillis(millis - mNowMillis));
        mNowMillis = millis;
    }
}
