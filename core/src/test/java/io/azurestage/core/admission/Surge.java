package io.azurestage.core.admission;

import io.azurestage.config.Azurestage;
import io.azurestage.config.MeshConfig;
import io.azurestage.config.WorkClass;
import java.util.List;

/** A surge of browsing from second 2 to 6, and the figures that the goals name. */
record Surge(
        int slots, double serviceMillis, double load, AdmissionParameters tuning, int entries) {
    static final double START = 2;
    static final double END = 6;
    static final MeshConfig SHARES =
            Azurestage.config()
                    .partner("a", p -> p.share(60).floor(5))
                    .partner("b", p -> p.share(40).floor(5))
                    .build();

    /**
     * Figures of one run.
     *
     * @param served slot time of work that ended in time over the slot time of the server
     * @param wasted admitted work that ended past its deadline over admitted work
     * @param critical critical requests served in time over all of them
     * @param recoveryMillis from the end of the surge until all fractions are 1 and the queue is at
     *     most one request per slot, both for at least 200 ms
     * @param afterMillis from the end of the surge until 0.95 of the offered work is served for 300
     *     ms
     */
    record Figures(
            double served,
            double wasted,
            double critical,
            double recoveryMillis,
            double afterMillis) {}

    Figures run(long seed) {
        Simulation sim = new Simulation(slots, SHARES, tuning, seed);
        sim.mEntries.clear();
        for (int i = 0; i < entries; i++) {
            sim.mEntries.add(new ChainLevels(sim.mTime));
        }
        // Half is fixed and half is exponential, as with a server that has a typical answer.
        sim.mServiceTime = (t, n) -> (serviceMillis + sim.exponential(serviceMillis)) / 2 * 1e6;
        double capacity = slots * 1000 / serviceMillis;
        sim.add("a", WorkClass.CRITICAL, t -> 0.2 * capacity);
        sim.add("b", WorkClass.CRITICAL, t -> 0.1 * capacity);
        sim.add("b", WorkClass.NORMAL, t -> 0.2 * capacity);
        double browsing = load - 0.5;
        sim.add("a", WorkClass.BROWSING, t -> (t >= START && t < END ? browsing : 0.2) * capacity);
        double[] normalSince = {Double.NaN};
        double[] recovered = {Double.NaN};
        sim.mOnTick =
                () -> {
                    double t = sim.now() / 1e9;
                    boolean normal =
                            sim.mController.fractions().isEmpty()
                                    && sim.mController.queued() <= slots;
                    if (t <= END || !normal) {
                        normalSince[0] = Double.NaN;
                    } else if (Double.isNaN(normalSince[0])) {
                        normalSince[0] = t;
                    } else if (Double.isNaN(recovered[0]) && t - normalSince[0] >= 0.2) {
                        recovered[0] = normalSince[0];
                    }
                };
        sim.run(END + 3);
        return figures(sim, (recovered[0] - END) * 1000);
    }

    private Figures figures(Simulation sim, double recovery) {
        List<Simulation.Request> all = sim.mRequests;
        double useful = 0;
        for (Simulation.Request r : all) {
            if (r.inTime()) {
                double from = Math.max(START * 1e9, r.mStarted);
                useful += Math.max(0, Math.min(END * 1e9, r.mEnded) - from);
            }
        }
        double admitted = all.stream().filter(r -> r.mEnded > 0).count();
        double late = all.stream().filter(r -> r.mEnded > 0 && !r.inTime()).count();
        List<Simulation.Request> critical = sim.arrived(WorkClass.CRITICAL, 0, END + 1);
        double criticalInTime = critical.stream().filter(Simulation.Request::inTime).count();
        return new Figures(
                useful / (slots * (END - START) * 1e9),
                late / admitted,
                criticalInTime / critical.size(),
                recovery,
                afterMillis(sim));
    }

    private static double afterMillis(Simulation sim) {
        for (double t = END; t < END + 2; t += 0.05) {
            List<Simulation.Request> offered = sim.arrived(null, t, t + 0.3);
            long served = offered.stream().filter(Simulation.Request::inTime).count();
            if (served >= 0.95 * offered.size()) {
                return (t - END) * 1000;
            }
        }
        return Double.NaN;
    }
}
