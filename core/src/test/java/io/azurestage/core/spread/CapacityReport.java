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
 * Prints the figures of docs/CAPACITY.md that come from virtual time. Arguments: services in the
 * configuration, then numbers of nodes. Bytes are those sent, with 28 bytes of headers for a
 * datagram and 400 for a message over TCP, which pays for opening and closing its connection.
 */
final class CapacityReport {
    private static final int UDP_HEADER_BYTES = 28;
    private static final int TCP_OVERHEAD_BYTES = 400;
    private static final long SEED = 7;
    private static final double CHANGES_PER_DAY = 2_800;

    private final int mNodes;
    private final String mDocument;
    private final VirtualMesh mMesh = new VirtualMesh(SEED);
    private long mVersion;
    private int mDrained = 5;

    /** A document like that of {@code services} services, of which most bytes differ. */
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
        print("agreement after all start at once", seconds(mMesh::agree, 300));
        load("start", Duration.ofSeconds(30));
        mMesh.run(Duration.ofSeconds(60));
        load("idle", Duration.ofSeconds(120));
        spread("");
        mMesh.mLoss = 0.05;
        mMesh.mMinDelay = 40;
        spread(" with 5 % loss and 40 ms of latency");
        mMesh.mLoss = 0;
        mMesh.mMinDelay = 1;
        changes();
        regions();
        loss();
    }

    private ConfigRecord record(long number) {
        return new ConfigRecord(number, "change-" + number, "op", Instant.EPOCH, mDocument);
    }

    private void spread(String condition) {
        double version = 0;
        double most = 0;
        double all = 0;
        for (int i = 0; i < 5; i++) {
            version = Math.max(version, spreadVersion());
            double[] drain = spreadDrain(mDrained++);
            most = Math.max(most, drain[0]);
            all = Math.max(all, drain[1]);
        }
        print("version at all nodes, worst of 5" + condition, version);
        print("drain at 99 % of the nodes, worst of 5" + condition, most);
        print("drain at all nodes, worst of 5" + condition, all);
    }

    private double spreadVersion() {
        long number = ++mVersion;
        mMesh.node(3).mSpread.offer(record(number));
        double s = seconds(() -> count(a -> a.mSpread.version().number() == number) == mNodes, 60);
        mMesh.run(Duration.ofSeconds(20));
        return s;
    }

    private double[] spreadDrain(int i) {
        VirtualMesh.Node n = mMesh.node(5 + i);
        n.mMembership.setState(Member.State.DRAINING);
        Predicate<VirtualMesh.Node> knows = a -> a.view(n).state() == Member.State.DRAINING;
        double most = seconds(() -> count(knows) >= 0.99 * mNodes, 60);
        double all = most + seconds(() -> count(knows) == mNodes, 60);
        mMesh.run(Duration.ofSeconds(20));
        return new double[] {most, all};
    }

    /** Four changes at the rate of a day, each with its idle time. */
    private void changes() {
        Duration gap = Duration.ofMillis((long) (86_400_000 / CHANGES_PER_DAY));
        reset();
        for (int i = 0; i < 4; i++) {
            mMesh.node(i).mSpread.offer(record(++mVersion));
            mMesh.run(gap);
        }
        printLoad("2,800 changes a day of " + mDocument.length() + " bytes", gap.multipliedBy(4));
    }

    /** The two regions lose contact for ten minutes. */
    private void regions() {
        mMesh.mLink = (a, b) -> inFirstRegion(a) == inFirstRegion(b);
        load("first minute of two regions apart", Duration.ofMinutes(1));
        mMesh.run(Duration.ofMinutes(9));
        load("two regions apart", Duration.ofMinutes(1));
        mMesh.heal();
        reset();
        print("agreement after the regions met again", seconds(mMesh::agree, 300));
        load("after the regions met again", Duration.ofSeconds(30));
    }

    /** A data centre of an eighth of the nodes is lost at once. */
    private void loss() {
        for (int i = 0; i < mNodes; i += 8) {
            mMesh.node(i).mKilled = true;
        }
        reset();
        print("agreement after a data centre is lost", seconds(mMesh::agree, 300));
        load("after the loss", Duration.ofSeconds(30));
    }

    private boolean inFirstRegion(String address) {
        return mMesh.mNodes.get(address).mMembership.self().location().region().endsWith("0");
    }

    private void load(String what, Duration time) {
        reset();
        mMesh.run(time);
        printLoad(what, time);
    }

    private void reset() {
        mMesh.mBytes = 0;
        mMesh.mMessages = 0;
        mMesh.mTcpMessages = 0;
    }

    private void printLoad(String what, Duration time) {
        double nodeSeconds = mMesh.alive().size() * time.toMillis() / 1000.0;
        long headers =
                (mMesh.mMessages - mMesh.mTcpMessages) * UDP_HEADER_BYTES
                        + mMesh.mTcpMessages * TCP_OVERHEAD_BYTES;
        System.out.printf(
                Locale.ROOT,
                "n=%d %s: %.0f B/s sent a node, %.0f with headers, %.2f msg/s of them %.2f TCP%n",
                mNodes,
                what,
                mMesh.mBytes / nodeSeconds,
                (mMesh.mBytes + headers) / nodeSeconds,
                mMesh.mMessages / nodeSeconds,
                mMesh.mTcpMessages / nodeSeconds);
    }

    private void print(String what, double seconds) {
        System.out.printf(Locale.ROOT, "n=%d %s: %.2f s%n", mNodes, what, seconds);
    }

    private long count(Predicate<VirtualMesh.Node> test) {
        return mMesh.alive().stream().filter(test).count();
    }

    private double seconds(BooleanSupplier condition, int limit) {
        return mMesh.runUntil(condition, Duration.ofSeconds(limit)) / 1000.0;
    }
}
