package io.azurestage.core.spread;

import io.azurestage.config.Azurestage;
import io.azurestage.config.ConfigBuilder;
import io.azurestage.core.membership.Member;
import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.Locale;
import java.util.Random;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;

/**
 * Prints the figures of docs/CAPACITY.md that are measured in virtual time. Arguments: the number
 * of services in the configuration, then one or more numbers of nodes. Bytes are those sent, plus
 * 28 bytes of headers for a datagram and 400 for a message over TCP, which includes opening and
 * closing the connection.
 */
final class CapacityReport {
    private static final int UDP_HEADER_BYTES = 28;
    private static final int TCP_OVERHEAD_BYTES = 400;
    private static final long SEED = 7;
    private static final double CHANGES_PER_DAY = 2_800;

    private final int mNodes;
    private final String mDocument;
    private final VirtualMesh mMesh = new VirtualMesh(SEED);
    private long mLastNumber;
    private int mDrainedNodes = 5;

    /** Returns a configuration of {@code services} services whose random names compress badly. */
    private static String document(int services) {
        Random random = new Random(SEED);
        ConfigBuilder b = Azurestage.config();
        int partners = Math.max(1, services / 5);
        for (int i = 0; i < partners; i++) {
            String secret = "secret-" + random.nextLong();
            b.partner(
                    "partner-" + Integer.toString(random.nextInt(1 << 30), 36),
                    p -> p.share(1).credential(secret));
        }
        for (int i = 0; i < services; i++) {
            String path = "/" + Integer.toString(random.nextInt(1 << 30), 36);
            b.service(
                    "service-" + Integer.toString(random.nextInt(1 << 30), 36),
                    s ->
                            s.critical("POST", path + "/bookings")
                                    .normal("GET", path + "/status")
                                    .normal("PUT", path + "/orders")
                                    .browsing("GET", path + "/catalogue"));
        }
        return b.build().toJson();
    }

    private CapacityReport(int nodes, String document) {
        mNodes = nodes;
        mDocument = document;
        mMesh.startAll(nodes);
    }

    public static void main(String[] args) {
        String document = document(Integer.parseInt(args[0]));
        ConfigRecord r = new ConfigRecord(1, "change", "op", Instant.EPOCH, document);
        int compressed = RecordCodec.toWire(r).getSerializedSize();
        System.out.println("document: " + document.length() + " bytes, sent " + compressed);
        Arrays.stream(args)
                .skip(1)
                .forEach(n -> new CapacityReport(Integer.parseInt(n), document).run());
    }

    private void run() {
        print("agreement after all start at once", seconds(mMesh::membersAgree, 300));
        measureLoad("start", Duration.ofSeconds(30));
        mMesh.run(Duration.ofSeconds(60));
        measureLoad("idle", Duration.ofSeconds(120));
        measureSpread("");
        mMesh.mLoss = 0.05;
        mMesh.mMinDelayMillis = 40;
        measureSpread(" with 5 % loss and 40 ms of latency");
        mMesh.mLoss = 0;
        mMesh.mMinDelayMillis = 1;
        makeChanges();
        partitionRegions();
        loseDataCentre();
    }

    private ConfigRecord record(long number) {
        return new ConfigRecord(number, "change-" + number, "op", Instant.EPOCH, mDocument);
    }

    private void measureSpread(String condition) {
        double version = 0;
        double mostNodes = 0;
        double allNodes = 0;
        for (int i = 0; i < 5; i++) {
            version = Math.max(version, measureVersionSpread());
            double[] drain = measureDrainSpread(mDrainedNodes++);
            mostNodes = Math.max(mostNodes, drain[0]);
            allNodes = Math.max(allNodes, drain[1]);
        }
        print("version at all nodes, worst of 5" + condition, version);
        print("drain at 99 % of the nodes, worst of 5" + condition, mostNodes);
        print("drain at all nodes, worst of 5" + condition, allNodes);
    }

    private double measureVersionSpread() {
        long number = ++mLastNumber;
        mMesh.node(3).mConfigGossip.offer(record(number));
        double s =
                seconds(
                        () -> count(a -> a.mConfigGossip.version().number() == number) == mNodes,
                        60);
        mMesh.run(Duration.ofSeconds(20));
        return s;
    }

    private double[] measureDrainSpread(int i) {
        VirtualMesh.Node n = mMesh.node(5 + i);
        n.mMembership.setState(Member.State.DRAINING);
        Predicate<VirtualMesh.Node> hasSeenDrain = a -> a.view(n).state() == Member.State.DRAINING;
        double mostNodes = seconds(() -> count(hasSeenDrain) >= 0.99 * mNodes, 60);
        double allNodes = mostNodes + seconds(() -> count(hasSeenDrain) == mNodes, 60);
        mMesh.run(Duration.ofSeconds(20));
        return new double[] {mostNodes, allNodes};
    }

    /** Makes four changes at the rate of {@link #CHANGES_PER_DAY}, each with its idle time. */
    private void makeChanges() {
        Duration gap = Duration.ofMillis((long) (86_400_000 / CHANGES_PER_DAY));
        resetCounters();
        for (int i = 0; i < 4; i++) {
            mMesh.node(i).mConfigGossip.offer(record(++mLastNumber));
            mMesh.run(gap);
        }
        printLoad("2,800 changes a day of " + mDocument.length() + " bytes", gap.multipliedBy(4));
    }

    /** Partitions the two regions for three minutes. */
    private void partitionRegions() {
        mMesh.mConnectivity = (a, b) -> inFirstRegion(a) == inFirstRegion(b);
        measureLoad("first minute of a partition between the regions", Duration.ofMinutes(1));
        mMesh.run(Duration.ofMinutes(1));
        measureLoad("third minute of a partition between the regions", Duration.ofMinutes(1));
        mMesh.clearFaults();
        resetCounters();
        print("agreement after the end of the partition", seconds(mMesh::membersAgree, 300));
        measureLoad("after the end of the partition", Duration.ofSeconds(30));
    }

    /** Kills a data centre with an eighth of the nodes at once. */
    private void loseDataCentre() {
        for (int i = 0; i < mNodes; i += 8) {
            mMesh.node(i).mKilled = true;
        }
        resetCounters();
        print("agreement after a data centre is lost", seconds(mMesh::membersAgree, 300));
        measureLoad("after the loss of a data centre", Duration.ofSeconds(30));
    }

    private boolean inFirstRegion(String address) {
        return mMesh.mNodes.get(address).mMembership.self().location().region().endsWith("0");
    }

    private void measureLoad(String label, Duration time) {
        resetCounters();
        mMesh.run(time);
        printLoad(label, time);
    }

    private void resetCounters() {
        mMesh.mBytes = 0;
        mMesh.mMessages = 0;
        mMesh.mTcpMessages = 0;
    }

    private void printLoad(String label, Duration time) {
        double nodeSeconds = mMesh.alive().size() * time.toMillis() / 1000.0;
        long headers =
                (mMesh.mMessages - mMesh.mTcpMessages) * UDP_HEADER_BYTES
                        + mMesh.mTcpMessages * TCP_OVERHEAD_BYTES;
        System.out.printf(
                Locale.ROOT,
                "n=%d %s: %.0f B/s sent a node, %.0f with headers, %.2f msg/s of them %.2f TCP%n",
                mNodes,
                label,
                mMesh.mBytes / nodeSeconds,
                (mMesh.mBytes + headers) / nodeSeconds,
                mMesh.mMessages / nodeSeconds,
                mMesh.mTcpMessages / nodeSeconds);
    }

    private void print(String label, double seconds) {
        System.out.printf(Locale.ROOT, "n=%d %s: %.2f s%n", mNodes, label, seconds);
    }

    private long count(Predicate<VirtualMesh.Node> test) {
        return mMesh.alive().stream().filter(test).count();
    }

    private double seconds(BooleanSupplier condition, int limit) {
        return mMesh.runUntil(condition, Duration.ofSeconds(limit)) / 1000.0;
    }
}
