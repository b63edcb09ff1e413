package io.azurestage.bench;

import io.azurestage.client.CallClass;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Experiment: compares calls through a policy with direct calls at the same load. */
final class Overhead {
    private static final List<MeshSettings.Share> SHARES =
            List.of(new MeshSettings.Share("hire-house", 100, 10));
    private static final Duration WARM_UP = Duration.ofSeconds(5);
    private static final Duration DEADLINE = Duration.ofSeconds(2);
    private static final int MEASURED_PHASE = 1;
    private static final Topology ONE_SERVICE =
            new Topology(
                    List.of(
                            new Topology.Service(
                                    "booking-register", 4, 26, Duration.ofMillis(50), 180)));

    /** Load as a fraction of the capacity of the service. */
    private static final double HALF_LOAD = 0.5;

    private static final double NEAR_FULL_LOAD = 0.9;

    private final Duration mTime;
    private final Duration mHopTimeout;
    private final long mSeed;

    private record Measurement(double p50Ms, double p99Ms, double success, double callsPerCore) {}

    Overhead(Duration time, Duration hopTimeout, long seed) {
        mTime = time;
        mHopTimeout = hopTimeout;
        mSeed = seed;
    }

    Map<String, Object> run(Policy policy) {
        Map<String, Object> report = new LinkedHashMap<>();
        report.put("half_load", compare(policy, HALF_LOAD));
        report.put("near_full_load", compare(policy, NEAR_FULL_LOAD));
        return report;
    }

    private Map<String, Object> compare(Policy policy, double load) {
        Measurement direct = measure(DirectPolicy.NONE, load);
        Measurement through = measure(policy, load);
        Map<String, Object> report = new LinkedHashMap<>();
        report.put("added_p50_ms", Round.to4(through.p50Ms() - direct.p50Ms()));
        report.put("added_p99_ms", Round.to4(through.p99Ms() - direct.p99Ms()));
        report.put("calls_per_core_s", Round.to1(through.callsPerCore()));
        report.put("direct_calls_per_core_s", Round.to1(direct.callsPerCore()));
        report.put("success_ratio", Round.to4(through.success()));
        report.put("direct_success_ratio", Round.to4(direct.success()));
        report.put("direct_p50_ms", Round.to4(direct.p50Ms()));
        report.put("direct_p99_ms", Round.to4(direct.p99Ms()));
        return report;
    }

    private Measurement measure(Policy policy, double load) {
        double rate = ONE_SERVICE.slowest().capacity() * load;
        Flow flow =
                new Flow("hire-house", CallClass.NORMAL, "GET", "/checks", List.of(rate, rate), 0);
        LoadPlan plan =
                new LoadPlan(
                        List.of(new Phase("warm-up", WARM_UP), new Phase("measured", mTime)),
                        List.of(flow),
                        true,
                        DEADLINE,
                        mSeed);
        Experiment.Outcome outcome =
                new Experiment(policy, ONE_SERVICE, SHARES, mHopTimeout).run(plan);
        Figures figures = new Figures(plan, outcome.samples());
        double seconds = plan.endNanos() / 1e9;
        return new Measurement(
                figures.latencyMs(50, figures.sentIn(MEASURED_PHASE)),
                figures.latencyMs(99, figures.sentIn(MEASURED_PHASE)),
                figures.success(figures.sentIn(MEASURED_PHASE)),
                figures.count(Sample::whole) / (outcome.cpuCores() * seconds));
    }
}
