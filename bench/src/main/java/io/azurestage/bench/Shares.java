package io.azurestage.bench;

import io.azurestage.client.CallClass;
import java.time.Duration;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/** Experiment: one partner surges to ten times its load, and its callers retry without back-off. */
final class Shares {
    private static final String SURGING = "surging";
    private static final String STEADY = "steady";
    private static final String LENDER = "lender";
    private static final List<MeshSettings.Share> SHARES =
            List.of(
                    new MeshSettings.Share(SURGING, 40, 10),
                    new MeshSettings.Share(STEADY, 30, 10),
                    new MeshSettings.Share(LENDER, 30, 10));
    private static final Duration ALONE_TIME = Duration.ofSeconds(5);
    private static final Duration LEND_TIME = Duration.ofSeconds(5);
    private static final Duration RETURN_TIME = Duration.ofSeconds(5);
    private static final Duration DEADLINE = Duration.ofSeconds(2);
    private static final int CALLER_RETRIES = 10;

    /** Loads as fractions of the slowest service's capacity. */
    private static final double SURGING_LOAD = 0.2;

    private static final double OTHER_LOAD = 0.25;
    private static final double SURGE_FACTOR = 10;

    private static final int ALONE_PHASE = 1;
    private static final int SURGE_PHASE = 2;
    private static final int LEND_PHASE = 3;
    private static final int RETURN_PHASE = 4;
    private static final long WINDOW_NANOS = 300_000_000L;
    private static final long STEP_NANOS = 10_000_000L;

    private final Topology mTopology;
    private final Duration mSurgeTime;
    private final Duration mHopTimeout;
    private final long mSeed;

    Shares(int depth, Duration surgeTime, Duration hopTimeout, long seed) {
        mTopology = Topology.chain(depth);
        mSurgeTime = surgeTime;
        mHopTimeout = hopTimeout;
        mSeed = seed;
    }

    LoadPlan plan() {
        List<Phase> phases =
                List.of(
                        new Phase("warm-up", ALONE_TIME),
                        new Phase("alone", ALONE_TIME),
                        new Phase("surge", mSurgeTime),
                        new Phase("lend", LEND_TIME),
                        new Phase("return", RETURN_TIME));
        double surge = SURGING_LOAD * SURGE_FACTOR;
        List<Flow> flows =
                List.of(
                        flow(SURGING, CALLER_RETRIES, SURGING_LOAD, 0, surge, surge, surge),
                        flow(STEADY, 0, OTHER_LOAD, OTHER_LOAD, OTHER_LOAD, OTHER_LOAD, OTHER_LOAD),
                        flow(LENDER, 0, OTHER_LOAD, OTHER_LOAD, OTHER_LOAD, 0, OTHER_LOAD));
        // Constant instead of Poisson arrivals give the compared phases exactly the same load.
        return new LoadPlan(phases, flows, false, DEADLINE, mSeed);
    }

    private LoadPlan warmUp() {
        return new LoadPlan(
                List.of(new Phase("warm-up", ALONE_TIME)),
                List.of(flow(STEADY, 0, OTHER_LOAD)),
                false,
                DEADLINE,
                mSeed);
    }

    private Flow flow(String partner, int callerRetries, double... loads) {
        double capacity = mTopology.slowest().capacity();
        List<Double> rates = Arrays.stream(loads).map(load -> load * capacity).boxed().toList();
        return new Flow(partner, CallClass.NORMAL, "GET", "/checks", rates, callerRetries);
    }

    Map<String, Object> run(Policy policy) {
        Experiment experiment = new Experiment(policy, mTopology, SHARES, mHopTimeout);
        // A cold JVM is so slow that the baseline "none" would enter an overload it never leaves.
        experiment.run(warmUp());
        LoadPlan plan = plan();
        Experiment.Outcome outcome = experiment.run(plan);
        Figures figures = new Figures(plan, outcome.samples());
        Predicate<Sample> others = figures.ofPartner(SURGING).negate();
        double alone = figures.success(others.and(figures.sentIn(ALONE_PHASE)));
        double surge = figures.success(others.and(figures.sentIn(SURGE_PHASE)));
        double capacity = mTopology.slowest().capacity();
        Map<String, Object> report = new LinkedHashMap<>();
        report.put("others_goodput_ratio", Round.to4(alone == 0 ? 0 : surge / alone));
        report.put(
                "lent_return_ms",
                figures.servedMs(
                        RETURN_PHASE, WINDOW_NANOS, STEP_NANOS, figures.ofPartner(LENDER)));
        report.put("others_alone_success_ratio", Round.to4(alone));
        report.put(
                "others_alone_p99_ms",
                Round.to1(figures.latencyMs(99, others.and(figures.sentIn(ALONE_PHASE)))));
        report.put(
                "others_surge_p99_ms",
                Round.to1(figures.latencyMs(99, others.and(figures.sentIn(SURGE_PHASE)))));
        report.put("surge_goodput_ratio", Round.to4(goodput(plan, figures, SURGE_PHASE, capacity)));
        report.put("lend_goodput_ratio", Round.to4(goodput(plan, figures, LEND_PHASE, capacity)));
        report.put(
                "wasted_work_ratio",
                Round.to4(outcome.ledger().summary(figures.wholeKeys()).wastedRatio()));
        report.putAll(figures.verdicts());
        report.put("reasons", figures.reasons());
        report.put("cpu_cores", Round.to1(outcome.cpuCores()));
        report.put("sender_lag_p99_ms", Round.to1(figures.senderLagMs(99)));
        return report;
    }

    private static double goodput(LoadPlan plan, Figures figures, int phase, double capacity) {
        return figures.goodputPerSecond(plan.startNanos(phase), plan.startNanos(phase + 1))
                / capacity;
    }
}
