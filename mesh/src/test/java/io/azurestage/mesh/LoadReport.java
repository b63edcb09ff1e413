package io.azurestage.mesh;

import io.azurestage.core.context.NodeIdentity;
import io.azurestage.core.context.Signer;
import io.azurestage.core.membership.Member;
import io.azurestage.core.membership.MembershipListener;
import io.azurestage.core.spread.ConfigListener;
import io.azurestage.core.spread.ConfigRecord;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.ToLongFunction;

/**
 * Prints CPU time, traffic and heap size of meshes on loopback. Arguments: number of nodes, seconds
 * of each idle measurement, document bytes. The CPU time includes the JIT compiler and the garbage
 * collector of the shared process.
 */
final class LoadReport {
    private LoadReport() {}

    public static void main(String[] args) throws InterruptedException {
        int nodes = Integer.parseInt(args[0]);
        int seconds = Integer.parseInt(args[1]);
        CountDownLatch adopted = new CountDownLatch(nodes);
        List<Mesh> meshes = new ArrayList<>();
        for (int i = 0; i < nodes; i++) {
            meshes.add(start(i, adopted));
        }
        List<String> seeds =
                meshes.stream().limit(8).map(m -> m.self().addresses().control()).toList();
        meshes.forEach(m -> m.addSeeds(seeds));
        long startNanos = System.nanoTime();
        while (meshes.stream().anyMatch(m -> m.knownMembers() < nodes - 1)) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
        System.out.printf(
                Locale.ROOT, "n=%d joined after %.2f s%n", nodes, secondsSince(startNanos));
        TimeUnit.SECONDS.sleep(30);
        for (int round = 0; round < 2; round++) {
            measureIdle(meshes, seconds);
        }
        String document = "x".repeat(Integer.parseInt(args[2]));
        startNanos = System.nanoTime();
        meshes.get(0).offerConfig(new ConfigRecord(1, "c", "op", Instant.EPOCH, document));
        adopted.await();
        System.out.printf(
                Locale.ROOT, "n=%d version at all after %.2f s%n", nodes, secondsSince(startNanos));
        meshes.forEach(Mesh::close);
    }

    private static Mesh start(int i, CountDownLatch adopted) {
        Member self =
                Member.joining(
                        new NodeIdentity("node-" + i, 1),
                        "service-" + i,
                        new Member.Addresses("127.0.0.1:1", "127.0.0.1:0", "127.0.0.1:2"),
                        new Member.Location("dc-" + i % 8, "region-" + i % 2),
                        100,
                        0);
        Signer signer = new Signer("0123456789abcdef".getBytes(StandardCharsets.UTF_8));
        ConfigListener onAdopted =
                new ConfigListener() {
                    @Override
                    public void onAdopted(ConfigRecord record) {
                        adopted.countDown();
                    }
                };
        return Mesh.start(MeshSettings.of(self, signer), new MembershipListener() {}, onAdopted);
    }

    private static void measureIdle(List<Mesh> meshes, int seconds) throws InterruptedException {
        long cpu = processCpu();
        long bytes = sum(meshes, MeshStats::bytesSent);
        long messages = sum(meshes, MeshStats::messagesSent);
        long startNanos = System.nanoTime();
        TimeUnit.SECONDS.sleep(seconds);
        double nodeSeconds = secondsSince(startNanos) * meshes.size();
        long dropped = sum(meshes, s -> s.forged() + s.malformed() + s.overflowed() + s.failed());
        System.out.printf(
                Locale.ROOT,
                "n=%d idle: %.3f %% of a core a node, %.0f B/s and %.2f msg/s sent a node,"
                        + " %d dropped, heap %d KB a node%n",
                meshes.size(),
                100 * (processCpu() - cpu) / 1e9 / nodeSeconds,
                (sum(meshes, MeshStats::bytesSent) - bytes) / nodeSeconds,
                (sum(meshes, MeshStats::messagesSent) - messages) / nodeSeconds,
                dropped,
                heapAfterCollection() / 1024 / meshes.size());
    }

    private static long heapAfterCollection() {
        System.gc();
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }

    private static long processCpu() {
        return ProcessHandle.current().info().totalCpuDuration().orElseThrow().toNanos();
    }

    private static long sum(List<Mesh> meshes, ToLongFunction<MeshStats> value) {
        return meshes.stream().mapToLong(m -> value.applyAsLong(m.stats())).sum();
    }

    private static double secondsSince(long startNanos) {
        return (System.nanoTime() - startNanos) / 1e9;
    }
}
