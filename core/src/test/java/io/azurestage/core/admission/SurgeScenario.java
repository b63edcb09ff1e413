package io.azurestage.core.admission;

import io.azurestage.config.Azurestage;
import io.azurestage.config.MeshConfig;
import io.azurestage.config.WorkClass;
import java.util.List;

/** A surge of browsing work from second 2 to 6, with the figures that the goals refer to. */
record SurgeScenario(
        int slots, double serviceMillis, double load, AdmissionParameters tuning, int entries) {
    static final double START_SECONDS = 2;
    static final double END_SECONDS = 6;
    static final MeshConfig CONFIG =
            Azurestage.config()
                    .partner("a", p -> p.share(60).floor(5))
                    .partner("b", p -> p.share(40).floor(5))
                    .build();

    /**
     * Figures of one run.
     *
     * @param servedRatio slot time during the surge of work that completed in time, relative to
     *     that of the server
     * @param wastedRatio completed requests that missed their deadline, relative to all completed
     *     ones
     * @param criticalRatio critical requests served in time, relative to all critical requests
     * @param recoveryMillis time from the end of the surge until all fractions are 1 and the queue
     *     is at most one request per slot, both for at least 200 ms
     * @param goodputRecoveryMillis time from the end of the surge until at least 0.95 of the
     *     requests that arrive within 300 ms are served in time
     */
    record Figures(
            double servedRatio,
            double wastedRatio,
            double criticalRatio,
            double recoveryMillis,
            double goodputRecoveryMillis) {}

    Figures run(long seed) {
        ServerSimulation sim = new ServerSimulation(slots, CONFIG, tuning, seed);
        sim.mEntryNodes.clear();
        for (int i = 0; i < entries; i++) {
            sim.mEntryNodes.add(new ChainLevels(sim.mTime));
        }
        // Half of the service time is fixed and half is exponential, as at a server with a typical
        // response time.
        sim.mServiceNanos =
                (seconds, n) -> (serviceMillis + sim.exponential(serviceMillis)) / 2 * 1e6;
        double capacity = slots * 1000 / serviceMillis;
        sim.add("a", WorkClass.CRITICAL, seconds -> 0.2 * capacity);
        sim.add("b", WorkClass.CRITICAL, seconds -> 0.1 * capacity);
        sim.add("b", WorkClass.NORMAL, seconds -> 0.2 * capacity);
        double browsingLoad = load - 0.5;
        sim.add(
                "a",
                WorkClass.BROWSING,
                seconds ->
                        (seconds >= START_SECONDS && seconds < END_SECONDS ? browsingLoad : 0.2)
                                * capacity);
        double[] recoveredSince = {Double.NaN};
        double[] recoverySeconds = {Double.NaN};
        sim.mOnTick =
                () -> {
                    double seconds = sim.now() / 1e9;
                    boolean isRecovered =
                            sim.mController.fractions().isEmpty()
                                    && sim.mController.queued() <= slots;
                    if (seconds <= END_SECONDS || !isRecovered) {
                        recoveredSince[0] = Double.NaN;
                    } else if (Double.isNaN(recoveredSince[0])) {
                        recoveredSince[0] = seconds;
                    } else if (Double.isNaN(recoverySeconds[0])
                            && seconds - recoveredSince[0] >= 0.2) {
                        recoverySeconds[0] = recoveredSince[0];
                    }
                };
        sim.run(END_SECONDS + 3);
        return figures(sim, (recoverySeconds[0] - END_SECONDS) * 1000);
    }

    private Figures figures(ServerSimulation sim, double recovery) {
        List<ServerSimulation.Request> all = sim.mRequests;
        double useful = 0;
        for (ServerSimulation.Request r : all) {
            if (r.isInTime()) {
                double from = Math.max(START_SECONDS * 1e9, r.mStartedNanos);
                useful += Math.max(0, Math.min(END_SECONDS * 1e9, r.mEndedNanos) - from);
            }
        }
        double admitted = all.stream().filter(r -> r.mEndedNanos > 0).count();
        double late = all.stream().filter(r -> r.mEndedNanos > 0 && !r.isInTime()).count();
        List<ServerSimulation.Request> criticalRequests =
                sim.arrived(WorkClass.CRITICAL, 0, END_SECONDS + 1);
        double criticalInTime =
                criticalRequests.stream().filter(ServerSimulation.Request::isInTime).count();
        return new Figures(
                useful / (slots * (END_SECONDS - START_SECONDS) * 1e9),
                late / admitted,
                criticalInTime / criticalRequests.size(),
                recovery,
                goodputRecoveryMillis(sim));
    }

    private static double goodputRecoveryMillis(ServerSimulation sim) {
        for (double seconds = END_SECONDS; seconds < END_SECONDS + 2; seconds += 0.05) {
            List<ServerSimulation.Request> offered = sim.arrived(null, seconds, seconds + 0.3);
            long servedInTime = offered.stream().filter(ServerSimulation.Request::isInTime).count();
            if (servedInTime >= 0.95 * offered.size()) {
                return (seconds - END_SECONDS) * 1000;
            }
        }
        return Double.NaN;
    }
}
