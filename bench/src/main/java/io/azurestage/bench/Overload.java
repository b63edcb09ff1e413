package io.azurestage.bench;

import io.azurestage.bench.standin.WorkLedger;
import io.azurestage.client.CallClass;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Experiment: load surges to a multiple of the slowest service's capacity and drops again. */
final class Overload {
    private static final Duration BASE_TIME = Duration.ofSeconds(10);
    private static final Duration RECOVERY_TIME = Duration.ofSeconds(15);
    private static final Duration WARM_UP = Duration.ofSeconds(3);
    private static final Duration DEADLINE = Duration.ofSeconds(2);
    private static final int SURGE_PHASE = 1;
    private static final int RECOVERY_PHASE = 2;
    private static final long WINDOW_NANOS = 1_000_000_000L;
    private static final long STEP_NANOS = 50_000_000L;

    /** Load before and after the surge, as a fraction of the slowest service's capacity. */
    private static final double BASE_LOAD = 0.5;

    /** Critical load in all phases, as a fraction of that capacity, so that it always fits. */
    private static final double CRITICAL_LOAD = 0.2;

    /** Fraction of the other load that is browsing; the rest is normal work. */
    private static final double BROWSING_FRACTION = 2.0 / 3;

    private static final List<MeshSettings.Share> SHARES =
            List.of(
                    new MeshSettings.Share("hire-house", 60, 10),
                    new MeshSettings.Share("counter", 40, 10));

    private final Topology mTopology;
    private final double mSurge;
    private final Duration mSurgeTime;
    private final Duration mHopTimeout;
    private final long mSeed;

    Overload(int depth, double surge, Duration surgeTime, Duration hopTimeout, long seed) {
        mTopology = Topology.chain(depth);
        mSurge = surge;
        mSurgeTime = surgeTime;
        mHopTimeout = hopTimeout;
        mSeed = seed;
    }

    LoadPlan plan() {
        return plan(
                List.of(
                        new Phase("base", BASE_TIME),
                        new Phase("surge", mSurgeTime),
                        new Phase("after", RECOVERY_TIME)),
                List.of(BASE_LOAD, mSurge, BASE_LOAD));
    }

    private LoadPlan plan(List<Phase> phases, List<Double> loads) {
        List<Flow> flows = new ArrayList<>();
        for (MeshSettings.Share share : SHARES) {
            for (CallClass workClass : CallClass.values()) {
                flows.add(flow(share, workClass, loads));
            }
        }
        return new LoadPlan(phases, flows, true, DEADLINE, mSeed);
    }

    private Flow flow(MeshSettings.Share share, CallClass workClass, List<Double> loads) {
        double capacity = mTopology.slowest().capacity() * share.share() / 100;
        List<Double> rates =
                loads.stream().map(load -> capacity * loadOf(workClass, load)).toList();
        return switch (workClass) {
            case CRITICAL -> new Flow(share.partner(), workClass, "POST", "/bookings", rates, 0);
            case NORMAL -> new Flow(share.partner(), workClass, "GET", "/checks", rates, 0);
            case BROWSING -> new Flow(share.partner(), workClass, "GET", "/catalogue", rates, 0);
        };
    }

    private static double loadOf(CallClass workClass, double load) {
        double other = load - CRITICAL_LOAD;
        return switch (workClass) {
            case CRITICAL -> CRITICAL_LOAD;
            case NORMAL -> other * (1 - BROWSING_FRACTION);
            case BROWSING -> other * BROWSING_FRACTION;
        };
    }

    /** Runs the experiment after a short warm-up run, which lets the JIT compile hot code. */
    Map<String, Object> run(Policy policy, boolean withSeries) {
        Experiment experiment = new Experiment(policy, mTopology, SHARES, mHopTimeout);
        experiment.run(plan(List.of(new Phase("warm-up", WARM_UP)), List.of(BASE_LOAD)));
        LoadPlan plan = plan();
        Experiment.Outcome outcome = experiment.run(plan);
        Figures figures = new Figures(plan, outcome.samples());
        return report(plan, outcome, figures, withSeries);
    }

    private Map<String, Object> report(
            LoadPlan plan, Experiment.Outcome outcome, Figures figures, boolean withSeries) {
        double capacity = mTopology.slowest().capacity();
        long from = plan.startNanos(SURGE_PHASE);
        long to = plan.startNanos(SURGE_PHASE + 1);
        var surge = figures.sentIn(SURGE_PHASE);
        WorkLedger.Summary work = outcome.ledger().summary(figures.wholeKeys());
        Map<String, Object> report = new LinkedHashMap<>();
        report.put("goodput_ratio", Round.to4(figures.goodputPerSecond(from, to) / capacity));
        report.put("wasted_work_ratio", Round.to4(work.wastedRatio()));
        report.put("max_retries_per_request", work.maxRetries());
        report.put("recovery_ms", figures.recoveryMs(RECOVERY_PHASE, WINDOW_NANOS, STEP_NANOS));
        report.put(
                "critical_success_ratio",
                Round.to4(figures.success(surge.and(figures.ofClass(CallClass.CRITICAL)))));
        report.put(
                "browsing_success_ratio",
                Round.to4(figures.success(surge.and(figures.ofClass(CallClass.BROWSING)))));
        report.put("p50_ms", Round.to1(figures.latencyMs(50, surge)));
        report.put("p99_ms", Round.to1(figures.latencyMs(99, surge)));
        report.put("capacity_per_s", Round.to1(capacity));
        report.put("offered_per_s", Round.to1(figures.count(surge) * 1e9 / (to - from)));
        report.put("base_success_ratio", Round.to4(figures.success(figures.sentIn(0))));
        report.put("duplicated", work.duplicated());
        report.putAll(figures.verdicts());
        report.put("cpu_cores", Round.to1(outcome.cpuCores()));
        report.put("sender_lag_p99_ms", Round.to1(figures.senderLagMs(99)));
        if (withSeries) {
            report.put("reasons", figures.reasons());
            report.put("series", figures.series());
        }
        return report;
    }
}
