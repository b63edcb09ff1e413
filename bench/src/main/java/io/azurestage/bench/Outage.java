package io.azurestage.bench;

import io.azurestage.bench.standin.StandInStoreFault;
import io.azurestage.client.CallClass;
import io.azurestage.store.PushResult;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Experiment: nodes are replaced and a configuration push is attempted under steady load while the
 * store is down. The same run with the store up gives the baseline goodput.
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

    /**
     * Load as a fraction of the slowest service's capacity, which also fits two of its three
     * servers.
     */
    private static final double LOAD = 0.3;

    private static final Duration WARM_UP = Duration.ofSeconds(5);

    /** Fraction of the load sent during warm-up, while the JIT has compiled little code. */
    private static final double WARM_UP_RATE_FRACTION = 0.2;

    private static final Duration LOAD_TIME = Duration.ofSeconds(40);
    private static final double STORE_DOWN_AT_S = 5;
    private static final double FIRST_REPLACEMENT_AT_S = 7;
    private static final double PUSH_AT_S = 20;
    private static final double STORE_UP_AT_S = 25;
    private static final Duration RECONNECT_TIME = Duration.ofSeconds(8);
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

    /** Observations of one run other than the calls. */
    private static final class Observations {
        private String mPushOutcome = "";
        private boolean mPushChangedNothing;
        private long mRecoveryMs = -1;
        private long mStorePeakPerSecond;
        private int mReplaced;
        private int mReplacedCutOff;
    }

    Map<String, Object> run() {
        Map<String, Object> without = run(false);
        System.err.println("outage: run without store outage: " + without);
        Map<String, Object> with = run(true);
        System.err.println("outage: run with store outage: " + with);
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
        return new Flow(
                PARTNER, workClass, method, path, List.of(rate * WARM_UP_RATE_FRACTION, rate), 0);
    }

    private Map<String, Object> run(boolean outage) {
        LoadPlan plan = plan();
        ConfigWatch watch = new ConfigWatch();
        Observations observations = new Observations();
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
                Thread eventThread =
                        new Thread(
                                () -> events(mesh, caller, watch, observations, start, outage),
                                "outage-events");
                eventThread.setDaemon(true);
                eventThread.start();
                List<Sample> samples = new LoadGenerator(plan, caller, pacer).run();
                join(eventThread);
                return figures(plan, samples, mesh, watch, observations);
            }
        }
    }

    private static void join(Thread eventThread) {
        try {
            eventThread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("the experiment was interrupted", e);
        }
    }

    private static Map<String, Object> figures(
            LoadPlan plan,
            List<Sample> samples,
            ProcessMesh mesh,
            ConfigWatch watch,
            Observations observations) {
        Figures figures = new Figures(plan, samples);
        Map<String, Object> map = new LinkedHashMap<>(figures.verdicts());
        map.put("duplicated", mesh.ledger().summary(figures.wholeKeys()).duplicated());
        map.put("p99_ms", Round.to1(figures.latencyMs(99, s -> true)));
        map.put("replaced", observations.mReplaced);
        map.put("cut_off_at_servers", observations.mReplacedCutOff);
        map.put("reverts", watch.reverts());
        map.put("push_outcome", observations.mPushOutcome);
        map.put("push_changed_nothing", observations.mPushChangedNothing);
        map.put("recovery_ms", observations.mRecoveryMs);
        map.put("store_peak_s", observations.mStorePeakPerSecond);
        return map;
    }

    private void events(
            ProcessMesh mesh,
            MeshCaller caller,
            ConfigWatch watch,
            Observations observations,
            long start,
            boolean outage) {
        sleepUntil(start, STORE_DOWN_AT_S);
        if (outage) {
            mesh.store().enableFault(StandInStoreFault.REFUSED);
        }
        sleepUntil(start, FIRST_REPLACEMENT_AT_S);
        for (int service = 0; service < TOPOLOGY.services().size(); service++) {
            observations.mReplacedCutOff +=
                    mesh.replace(service, () -> caller.entries(mesh.entries()));
            observations.mReplaced++;
        }
        sleepUntil(start, PUSH_AT_S);
        PushTrial trial = new PushTrial(mesh.store(), mesh.admin(), watch);
        if (outage) {
            pushWhileDown(mesh, trial, observations);
        }
        sleepUntil(start, STORE_UP_AT_S);
        mesh.store().resetCounters();
        long back = System.currentTimeMillis();
        if (outage) {
            mesh.store().disableFault(StandInStoreFault.REFUSED);
        }
        observations.mRecoveryMs = awaitRecovery(mesh, trial, back);
        Sleep.millis(RECONNECT_TIME.toMillis());
        observations.mStorePeakPerSecond = mesh.store().counters().peakPerSecond();
    }

    private static void pushWhileDown(
            ProcessMesh mesh, PushTrial trial, Observations observations) {
        long before = mesh.highestNumber();
        PushResult result = trial.publish(mesh.config(RECOVERY_SHARE - 1));
        observations.mPushOutcome = result.getClass().getSimpleName();
        Sleep.millis(1_000);
        observations.mPushChangedNothing = mesh.highestNumber() == before;
    }

    /**
     * Pushes until the store accepts a version.
     *
     * @return milliseconds from the recovery of the store until the version is in force on all
     *     nodes, or -1 if the store accepts none within 20 s or the version does not spread within
     *     10 s
     */
    private static long awaitRecovery(ProcessMesh mesh, PushTrial trial, long backMillis) {
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

    private static void sleepUntil(long start, double seconds) {
        long left = start + (long) (seconds * 1e9) - System.nanoTime();
        if (left > 0) {
            Sleep.millis(left / 1_000_000);
        }
    }
}
