package io.azurestage.bench;

import io.azurestage.bench.standin.StandInStore;
import io.azurestage.bench.standin.StandInStoreCounters;
import io.azurestage.config.Azurestage;
import io.azurestage.config.MeshConfig;
import io.azurestage.config.WorkClass;
import io.azurestage.store.PushResult;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Experiment: configuration propagation time and control traffic and CPU at several mesh sizes. */
final class Spread {
    static final String DEFAULT_SIZES = "12,36,72";

    private static final int MAX_NODES = 100;
    private static final int DATA_CENTRES = 8;
    private static final int REGIONS = 2;
    private static final int SERVICES = 5;
    private static final int PUSH_COUNT = 3;
    private static final Duration JOIN_LIMIT = Duration.ofSeconds(120);
    private static final Duration SETTLE_TIME = Duration.ofSeconds(10);
    private static final Duration IDLE_TIME = Duration.ofSeconds(15);
    private static final Duration PAUSE_AFTER_FAILURE = Duration.ofSeconds(4);
    private static final long POLL_MILLIS = 25;
    private static final String HEAP = "64m";

    /** No server listens on this address, since the nodes of this experiment get no calls. */
    private static final URI NO_BACKEND = URI.create("http://127.0.0.1:9");

    private final List<Integer> mSizes;
    private final Map<String, Double> mTargets =
            Map.of(
                    "spread_ms_max",
                    4_000.0,
                    "spread_ms_max_store_fails",
                    4_000.0,
                    "control_bytes_per_node_s",
                    7_000.0,
                    "control_core_percent",
                    1.2,
                    "node_rss_mb",
                    256.0);

    Spread(String sizes) {
        mSizes = Arrays.stream(sizes.split(",")).map(Integer::valueOf).toList();
        if (mSizes.stream().anyMatch(n -> n < 2 || n > MAX_NODES)) {
            throw new IllegalArgumentException(
                    "each mesh size must be 2 to " + MAX_NODES + " nodes");
        }
    }

    Map<String, Object> run() {
        List<Map<String, Object>> sizes = new ArrayList<>();
        for (int nodes : mSizes) {
            Map<String, Object> figures = new SizeRun(nodes).run();
            System.err.println("spread: " + figures);
            sizes.add(figures);
        }
        Map<String, Object> report = new LinkedHashMap<>();
        report.put("sizes", sizes);
        report.put("slope_per_node", slopes(sizes));
        report.put("missed", missed(sizes, mTargets));
        return report;
    }

    static Map<String, Double> slopes(List<Map<String, Object>> sizes) {
        Map<String, Double> slopes = new LinkedHashMap<>();
        for (String name : sizes.get(0).keySet()) {
            if (name.equals("nodes")) {
                continue;
            }
            slopes.put(
                    name,
                    Round.to4(
                            Slope.of(
                                    sizes.stream()
                                            .map(
                                                    s ->
                                                            new Slope.Point(
                                                                    number(s, "nodes"),
                                                                    number(s, name)))
                                            .toList())));
        }
        return slopes;
    }

    /**
     * Returns the figures that exceed their target. A negative value, such as the -1 of an
     * incomplete spread, counts as exceeding it.
     */
    static List<String> missed(List<Map<String, Object>> sizes, Map<String, Double> targets) {
        List<String> missed = new ArrayList<>();
        for (Map<String, Object> figures : sizes) {
            targets.forEach(
                    (name, target) -> {
                        double value = number(figures, name);
                        if (value < 0 || value > target) {
                            missed.add(
                                    name + " " + value + " at " + figures.get("nodes") + " nodes");
                        }
                    });
        }
        return missed.stream().sorted().toList();
    }

    private static double number(Map<String, Object> figures, String name) {
        return ((Number) figures.get(name)).doubleValue();
    }

    static MeshConfig config(int share) {
        var builder =
                Azurestage.config()
                        .partner("hire-house", p -> p.share(share).credential("a"))
                        .partner("die-works", p -> p.share(100 - share).credential("b"));
        for (int i = 0; i < SERVICES; i++) {
            builder.service(
                    "service-" + i, s -> s.operation("GET", "/checks", WorkClass.NORMAL, true));
        }
        return builder.build();
    }

    /** Measurement at one mesh size. */
    private static final class SizeRun {
        private final int mNodeCount;
        private final AdminClient mAdmin = new AdminClient();
        private final ConfigWatch mWatch = new ConfigWatch();
        private final Map<NodeEndpoints, String> mDataCentres = new LinkedHashMap<>();
        private int mShare = 20;

        SizeRun(int nodeCount) {
            mNodeCount = nodeCount;
        }

        Map<String, Object> run() {
            try (StandInStore store = StandInStore.start();
                    NodeProcesses processes = new NodeProcesses(HEAP)) {
                AzurestagePolicy.push(store, config(mShare));
                long begin = System.nanoTime();
                start(store, processes);
                long startMs = (System.nanoTime() - begin) / 1_000_000;
                Sleep.millis(SETTLE_TIME.toMillis());
                Map<String, Object> figures = new LinkedHashMap<>();
                figures.put("nodes", mNodeCount);
                Map<String, Object> idle = idle(store, processes);
                long resident = processes.residentBytes();
                try (StatusPoller poller =
                        new StatusPoller(mAdmin, mDataCentres::keySet, mWatch, POLL_MILLIS)) {
                    pushes(store, figures);
                }
                figures.putAll(idle);
                figures.put("node_rss_mb", Round.to1(resident / 1e6 / mNodeCount));
                figures.put("start_ms", startMs);
                figures.put("reverts", mWatch.reverts());
                return figures;
            }
        }

        private void start(StandInStore store, NodeProcesses processes) {
            List<NodeProcesses.Start> starts = new ArrayList<>();
            for (int i = 0; i < mNodeCount; i++) {
                int dataCentre = i % DATA_CENTRES;
                Topology.Service service =
                        new Topology.Service(
                                "service-" + i % SERVICES, 1, 20, Duration.ofMillis(5), 100);
                starts.add(
                        new NodeProcesses.Start(
                                new NodeEndpoints.Place(
                                        "node-" + i,
                                        "dc" + dataCentre,
                                        "region" + dataCentre % REGIONS,
                                        service,
                                        NO_BACKEND),
                                store.uri(),
                                List.of()));
            }
            Map<String, NodeEndpoints> nodes = processes.start(starts);
            starts.forEach(
                    s -> mDataCentres.put(nodes.get(s.place().nodeId()), s.place().dataCentre()));
            long end = System.nanoTime() + JOIN_LIMIT.toNanos();
            while (!hasConverged()) {
                if (System.nanoTime() > end) {
                    throw new IllegalStateException(
                            "the nodes did not all discover each other within 120 s");
                }
                Sleep.millis(500);
            }
        }

        private boolean hasConverged() {
            var metrics = mAdmin.metrics(mDataCentres.keySet());
            return metrics.size() == mNodeCount
                    && metrics.values().stream()
                            .allMatch(
                                    m ->
                                            m.get("azurestage_members") == mNodeCount
                                                    && m.get("azurestage_config_number") >= 1);
        }

        private Map<String, Object> idle(StandInStore store, NodeProcesses processes) {
            store.resetCounters();
            double bytes = controlBytes();
            Duration cpu = processes.cpu();
            long begin = System.nanoTime();
            Sleep.millis(IDLE_TIME.toMillis());
            Duration used = processes.cpu().minus(cpu);
            double seconds = (System.nanoTime() - begin) / 1e9;
            StandInStoreCounters calls = store.counters();
            double sent = controlBytes() - bytes;
            Map<String, Object> figures = new LinkedHashMap<>();
            figures.put("idle_store_calls_s", Round.to4(calls.total() / seconds));
            figures.put("control_bytes_per_node_s", Round.to1(sent / seconds / mNodeCount));
            figures.put(
                    "control_core_percent",
                    Round.to4(100 * used.toNanos() / 1e9 / seconds / mNodeCount));
            return figures;
        }

        /** Returns the total control traffic of all nodes, sent and received, in bytes. */
        private double controlBytes() {
            return mAdmin.metrics(mDataCentres.keySet()).values().stream()
                    .mapToDouble(
                            m ->
                                    m.get("azurestage_control_bytes_sent")
                                            + m.get("azurestage_control_bytes_received"))
                    .sum();
        }

        private void pushes(StandInStore store, Map<String, Object> figures) {
            PushTrial trial = new PushTrial(store, mAdmin, mWatch);
            store.resetCounters();
            List<Long> healthy = new ArrayList<>();
            for (int i = 0; i < PUSH_COUNT; i++) {
                healthy.add(spread(trial, trial.publish(config(++mShare))));
            }
            StandInStoreCounters calls = store.counters();
            List<Long> failing = new ArrayList<>();
            for (int i = 0; i < PUSH_COUNT; i++) {
                failing.add(spread(trial, trial.publishAndFail(config(++mShare))));
                store.resetCounters();
                trial.clearFaults();
                Sleep.millis(PAUSE_AFTER_FAILURE.toMillis());
            }
            figures.put("spread_ms_max", worst(healthy));
            figures.put("spread_ms_max_store_fails", worst(failing));
            figures.put("store_reads", calls.calls("range") + calls.calls("watch"));
            figures.put(
                    "store_writes", calls.total() - calls.calls("range") - calls.calls("watch"));
            figures.put("store_peak_s_after_failure", store.counters().peakPerSecond());
        }

        private long spread(PushTrial trial, PushResult result) {
            if (result instanceof PushResult.Accepted accepted) {
                return trial.spread(accepted.record(), mDataCentres);
            }
            throw new IllegalStateException(
                    "the store did not accept a configuration push: " + result);
        }
    }

    /** Returns the longest spread in milliseconds, or -1 if one of them is -1 (incomplete). */
    static long worst(List<Long> spreads) {
        return spreads.contains(-1L)
                ? -1
                : spreads.stream().mapToLong(Long::longValue).max().orElse(-1);
    }
}
