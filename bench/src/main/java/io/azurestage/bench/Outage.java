package io.azurestage.bench;

import io.azurestage.bench.standin.StandInStoreFault;
import io.azurestage.client.CallClass;
import io.azurestage.store.PushResult;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Nodes are replaced under steady load while the store is down, and a push is tried; the same run
 * with the store up gives the goodput to compare with.
 */
final class Outage {
    static final Topology TOPOLOGY =
            new Topology(
                    List.of(
                            service("booking-register", 40, 5),
                            service("ledger-archive", 30, 5),
                            service("stable-return-keeper", 6, 30)));

    private static final String PARTNER = "hire-house";
    private static final List<MeshSettings.Share> SHARES =
            List.of(new MeshSettings.Share(PARTNER, 100, 10));
    private static final Duration DEADLINE = Duration.ofSeconds(2);

    /** Load over the capacity of the slowest service; one of its three servers may be missing. */
    private static final double LOAD = 0.3;

    private static final Duration WARM_UP = Duration.ofSeconds(5);

    /** Processes that have just started run slowly until their code is compiled. */
    private static final double WARM_UP_PART = 0.2;

    private static final Duration LOAD_TIME = Duration.ofSeconds(40);
    private static final double DOWN_AT = 5;
    private static final double FIRST_REPLACEMENT_AT = 7;
    private static final double PUSH_AT = 20;
    private static final double BACK_AT = 25;
    private static final Duration RECONNECT = Duration.ofSeconds(8);
    private static final Duration RECOVERY_LIMIT = Duration.ofSeconds(20);
    private static final long PUSH_PAUSE_MILLIS = 100;
    private static final long POLL_MILLIS = 50;
    private static final int RECOVERY_SHARE = 90;

    private final long mSeed;

    Outage(long seed) {
        mSeed = seed;
    }

    private static Topology.Service service(String name, int slots, int millis) {
        return new Topology.Service(name, 3, slots, Duration.ofMillis(millis), 300);
    }

    /** What one run saw. */
    private static final class Seen {
        private String mPushOutcome = "";
        private boolean mUnchanged;
        private long mRecoveryMs = -1;
        private long mPeak;
        private int mReplaced;
        private int mReplacedCutOff;
    }

    Map<String, Object> run() {
        Map<String, Object> without = run(false);
        System.err.println("outage: without: " + without);
        Map<String, Object> with = run(true);
        System.err.println("outage: with: " + with);
        Map<String, Object> report = new LinkedHashMap<>();
        report.put("goodput_ratio", Round.to4(ratio(with.get("whole"), without.get("whole"))));
        report.put("reverts", with.get("reverts"));
        report.put("recovery_ms", with.get("recovery_ms"));
        report.put("store_peak_s", with.get("store_peak_s"));
        report.put("push_outcome", with.get("push_outcome"));
        report.put("push_changed_nothing", with.get("push_changed_nothing"));
        report.put("with_outage", with);
        report.put("without_outage", without);
        return report;
    }

    static double ratio(Object part, Object whole) {
        double w = ((Number) whole).doubleValue();
        return w == 0 ? 0 : ((Number) part).doubleValue() / w;
    }

    private LoadPlan plan() {
        double rate = TOPOLOGY.slowest().capacity() * LOAD;
        return new LoadPlan(
                List.of(new Phase("warm-up", WARM_UP), new Phase("load", LOAD_TIME)),
                List.of(
                        flow(CallClass.CRITICAL, "POST", "/bookings", rate * 0.4),
                        flow(CallClass.NORMAL, "GET", "/checks", rate * 0.6)),
                true,
                DEADLINE,
                mSeed);
    }

    private static Flow flow(CallClass workClass, String method, String path, double rate) {
        return new Flow(PARTNER, workClass, method, path, List.of(rate * WARM_UP_PART, rate), 0);
    }

    private Map<String, Object> run(boolean outage) {
        LoadPlan plan = plan();
        ConfigWatch watch = new ConfigWatch();
        Seen seen = new Seen();
        try (ProcessMesh mesh = new ProcessMesh(TOPOLOGY, SHARES, plan.flows(), mSeed)) {
            mesh.start();
            try (MeshCaller caller =
                            new MeshCaller(
                                    mesh.entries(),
                                    true,
                                    2,
                                    TOPOLOGY.names(),
                                    List.of(PARTNER),
                                    mSeed);
                    SystemPacer pacer = new SystemPacer();
                    StatusPoller poller =
                            new StatusPoller(mesh.admin(), mesh::nodes, watch, POLL_MILLIS)) {
                long start = System.nanoTime() + WARM_UP.toNanos();
                Thread side =
                        new Thread(
                                () -> events(mesh, caller, watch, seen, start, outage),
                                "outage-events");
                side.setDaemon(true);
                side.start();
                List<Sample> samples = new LoadGenerator(plan, caller, pacer).run();
                join(side);
                return figures(plan, samples, mesh, watch, seen);
            }
        }
    }

    private static void join(Thread side) {
        try {
            side.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("the experiment was interrupted", e);
        }
    }

    private static Map<String, Object> figures(
            LoadPlan plan, List<Sample> samples, ProcessMesh mesh, ConfigWatch watch, Seen seen) {
        Figures figures = new Figures(plan, samples);
        Map<String, Object> map = new LinkedHashMap<>(figures.verdicts());
        map.put("duplicated", mesh.ledger().summary(figures.wholeKeys()).duplicated());
        map.put("p99_ms", Round.to1(figures.latencyMs(99, s -> true)));
        map.put("replaced", seen.mReplaced);
        map.put("cut_off_at_servers", seen.mReplacedCutOff);
        map.put("reverts", watch.reverts());
        map.put("push_outcome", seen.mPushOutcome);
        map.put("push_changed_nothing", seen.mUnchanged);
        map.put("recovery_ms", seen.mRecoveryMs);
        map.put("store_peak_s", seen.mPeak);
        return map;
    }

    private void events(
            ProcessMesh mesh,
            MeshCaller caller,
            ConfigWatch watch,
            Seen seen,
            long start,
            boolean outage) {
        at(start, DOWN_AT);
        if (outage) {
            mesh.store().on(StandInStoreFault.REFUSED);
        }
        at(start, FIRST_REPLACEMENT_AT);
        for (int service = 0; service < TOPOLOGY.services().size(); service++) {
            seen.mReplacedCutOff += mesh.replace(service, () -> caller.entries(mesh.entries()));
            seen.mReplaced++;
        }
        at(start, PUSH_AT);
        PushTrial trial = new PushTrial(mesh.store(), mesh.admin(), watch);
        if (outage) {
            pushWhileDown(mesh, trial, seen);
        }
        at(start, BACK_AT);
        mesh.store().resetCounters();
        long back = System.currentTimeMillis();
        if (outage) {
            mesh.store().off(StandInStoreFault.REFUSED);
        }
        seen.mRecoveryMs = recovery(mesh, trial, back);
        Sleep.millis(RECONNECT.toMillis());
        seen.mPeak = mesh.store().counters().peakPerSecond();
    }

    private static void pushWhileDown(ProcessMesh mesh, PushTrial trial, Seen seen) {
        long before = mesh.highestNumber();
        PushResult result = trial.publish(mesh.config(RECOVERY_SHARE - 1));
        seen.mPushOutcome = result.getClass().getSimpleName();
        Sleep.millis(1_000);
        seen.mUnchanged = mesh.highestNumber() == before;
    }

    /** Pushes until the store takes it, and returns the time until the push is in force. */
    private static long recovery(ProcessMesh mesh, PushTrial trial, long backMillis) {
        long end = System.currentTimeMillis() + RECOVERY_LIMIT.toMillis();
        while (System.currentTimeMillis() < end) {
            if (trial.publish(mesh.config(RECOVERY_SHARE)) instanceof PushResult.Accepted a) {
                long spread = trial.spread(a.record(), mesh.dataCentres());
                return spread < 0
                        ? -1
                        : a.record().acceptedAt().toEpochMilli() - backMillis + spread;
            }
            Sleep.millis(PUSH_PAUSE_MILLIS);
        }
        return -1;
    }

    private static void at(long start, double seconds) {
        long left = start + (long) (seconds * 1e9) - System.nanoTime();
        if (left > 0) {
            Sleep.millis(left / 1_000_000);
        }
    }
}
