package io.azurestage.bench;

import com.sun.management.OperatingSystemMXBean;
import io.azurestage.bench.standin.StandInBackend;
import io.azurestage.bench.standin.StandInRuntime;
import io.azurestage.bench.standin.WorkLedger;
import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BiConsumer;

/** Starts a mesh, runs a load plan against it and collects the results of callers and servers. */
final class Experiment {
    private static final long DRAIN_LIMIT_NANOS = 60_000_000_000L;
    private static final long POLL_NANOS = 10_000_000;

    private final Policy mPolicy;
    private final Topology mTopology;
    private final List<MeshSettings.Share> mShares;
    private final Duration mHopTimeout;

    /**
     * Results of a run. CPU use covers the whole process: callers, nodes and backend servers.
     *
     * @param samples one sample for each request of a caller
     * @param ledger executions that the backend servers recorded
     * @param cpuCores mean number of CPU cores in use while the load was sent
     */
    record Outcome(List<Sample> samples, WorkLedger ledger, double cpuCores) {}

    Experiment(
            Policy policy,
            Topology topology,
            List<MeshSettings.Share> shares,
            Duration hopTimeout) {
        mPolicy = policy;
        mTopology = topology;
        mShares = List.copyOf(shares);
        mHopTimeout = hopTimeout;
    }

    Outcome run(LoadPlan plan) {
        return run(plan, (mesh, caller) -> {});
    }

    /**
     * Runs a load plan and waits until all backend servers are idle.
     *
     * @param meanwhile runs on a separate thread from the start of the load
     * @throws IllegalStateException if requests are still in progress 60 s after the end of the
     *     load
     */
    Outcome run(LoadPlan plan, BiConsumer<Mesh, MeshCaller> meanwhile) {
        WorkLedger ledger = new WorkLedger();
        int connections = mTopology.services().get(0).connections();
        List<String> partners =
                mShares.stream().map(MeshSettings.Share::partner).distinct().toList();
        try (StandInRuntime runtime = new StandInRuntime(connections);
                Mesh mesh =
                        mPolicy.start(
                                new MeshSettings(
                                        mTopology,
                                        mShares,
                                        plan.flows(),
                                        runtime,
                                        ledger,
                                        mHopTimeout,
                                        plan.seed()));
                MeshCaller caller = new MeshCaller(mesh, mTopology.names(), partners, plan.seed());
                SystemPacer pacer = new SystemPacer()) {
            Thread sideThread = new Thread(() -> meanwhile.accept(mesh, caller), "experiment-side");
            sideThread.setDaemon(true);
            sideThread.start();
            long cpu = cpuNanos();
            long start = System.nanoTime();
            List<Sample> samples = new LoadGenerator(plan, caller, pacer).run();
            double cores = (double) (cpuNanos() - cpu) / (System.nanoTime() - start);
            awaitDrained(mesh);
            sideThread.join();
            return new Outcome(samples, ledger, cores);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("the experiment was interrupted", e);
        }
    }

    /** Waits for work whose callers have given up, since it still counts as wasted. */
    private static void awaitDrained(Mesh mesh) {
        long limit = System.nanoTime() + DRAIN_LIMIT_NANOS;
        while (mesh.backends().stream().anyMatch(b -> b.inProgress() > 0)) {
            if (System.nanoTime() > limit) {
                int left = mesh.backends().stream().mapToInt(StandInBackend::inProgress).sum();
                throw new IllegalStateException(
                        left + " requests are still in progress 60 s after the end of the load");
            }
            LockSupport.parkNanos(POLL_NANOS);
        }
    }

    private static long cpuNanos() {
        return ((OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean())
                .getProcessCpuTime();
    }
}
