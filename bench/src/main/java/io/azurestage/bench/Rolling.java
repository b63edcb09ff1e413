package io.azurestage.bench;

import io.azurestage.bench.standin.StandInBackend;
import io.azurestage.client.CallClass;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Experiment: all backend servers are replaced one after another under load. */
final class Rolling {
    private static final List<MeshSettings.Share> SHARES =
            List.of(new MeshSettings.Share("hire-house", 100, 10));
    private static final Duration DEADLINE = Duration.ofSeconds(2);

    /**
     * Load as a fraction of the slowest service's capacity, which also fits three of its four
     * servers.
     */
    private static final double LOAD = 0.5;

    private static final double CRITICAL_FRACTION = 0.4;

    private final Topology mTopology;
    private final Duration mTime;
    private final Duration mHopTimeout;
    private final long mSeed;

    Rolling(int depth, Duration time, Duration hopTimeout, long seed) {
        mTopology = Topology.chain(depth);
        mTime = time;
        mHopTimeout = hopTimeout;
        mSeed = seed;
    }

    private LoadPlan plan() {
        double rate = mTopology.slowest().capacity() * LOAD;
        return new LoadPlan(
                List.of(new Phase("replacement", mTime)),
                List.of(
                        flow(CallClass.CRITICAL, "POST", "/bookings", rate * CRITICAL_FRACTION),
                        flow(CallClass.NORMAL, "GET", "/checks", rate * (1 - CRITICAL_FRACTION))),
                true,
                DEADLINE,
                mSeed);
    }

    private static Flow flow(CallClass workClass, String method, String path, double rate) {
        return new Flow("hire-house", workClass, method, path, List.of(rate), 0);
    }

    Map<String, Object> run(Policy policy) {
        LoadPlan plan = plan();
        List<Mesh.Replacement> replacements = Collections.synchronizedList(new ArrayList<>());
        int servers = mTopology.services().stream().mapToInt(Topology.Service::servers).sum();
        Experiment.Outcome outcome =
                new Experiment(policy, mTopology, SHARES, mHopTimeout)
                        .run(plan, (mesh, caller) -> replaceAll(plan, mesh, caller, replacements));
        Figures figures = new Figures(plan, outcome.samples());
        Map<String, Long> verdicts = figures.verdicts();
        long cutOff =
                verdicts.get("unknown")
                        + verdicts.get("error")
                        + verdicts.get("partial")
                        + verdicts.get("misdelivered");
        Map<String, Object> report = new LinkedHashMap<>();
        report.put("cut_off", cutOff);
        report.put("duplicated", outcome.ledger().summary(figures.wholeKeys()).duplicated());
        report.put(
                "last_new_work_ms",
                replacements.stream().mapToLong(Mesh.Replacement::lastNewWorkMs).max().orElse(-1));
        report.put(
                "cut_off_at_servers",
                replacements.stream().mapToInt(Mesh.Replacement::cutOff).sum());
        report.put("replaced", replacements.size());
        report.put("servers", servers);
        report.put("success_ratio", Round.to4(figures.success(s -> true)));
        report.put("p99_ms", Round.to1(figures.latencyMs(99, s -> true)));
        report.putAll(verdicts);
        report.put("reasons", figures.reasons());
        return report;
    }

    /** Replaces the servers one after another; begins no replacement after the end of the load. */
    private static void replaceAll(
            LoadPlan plan, Mesh mesh, MeshCaller caller, List<Mesh.Replacement> replacements) {
        long end = System.nanoTime() + plan.endNanos();
        for (StandInBackend old : List.copyOf(mesh.backends())) {
            if (System.nanoTime() > end) {
                return;
            }
            replacements.add(mesh.replace(old, () -> caller.entries(mesh.entries())));
        }
    }
}
