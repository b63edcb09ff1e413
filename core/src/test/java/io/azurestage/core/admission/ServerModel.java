package io.azurestage.core.admission;

import io.azurestage.config.WorkClass;

/** Servers of different behaviour under twice their load from second 1 on, for the limit. */
enum ServerModel {
    /** One answer in ten takes ten times as long. */
    BIMODAL,
    /** From second 3 to 5, every answer takes ten times as long. */
    SLOWDOWN,
    /** Only a tenth of the slots run in parallel; more requests slow each other down. */
    CONGESTED,
    /** Refuses what is over a tenth of its slots. */
    REFUSING;

    static final double SLOW_FROM = 3;
    static final double SLOW_TO = 5;
    private static final double END = 8;
    private static final double SERVICE_MILLIS = 10;

    /**
     * Figures after the first second; served is relative to what the server could answer in time,
     * and the limit is back when it is 0.9 of the slots after the slowdown.
     */
    record Figures(double served, double meanMillis, int leastLimit, double backMillis) {}

    Figures run(int slots, boolean adaptive, long seed) {
        AdmissionParameters d = AdmissionParameters.DEFAULT;
        AdmissionParameters t =
                new AdmissionParameters(
                        adaptive,
                        d.order(),
                        d.target(),
                        d.targetServiceTimes(),
                        d.horizon(),
                        d.maxGrowth());
        Simulation sim = new Simulation(slots, Surge.SHARES, t, seed);
        sim.mDeadline = (long) (200 * Simulation.MILLI);
        int parallel = Math.max(1, slots / 10);
        sim.mServerSlots = this == REFUSING ? parallel : Integer.MAX_VALUE;
        sim.mServiceTime = (at, n) -> serviceMillis(sim, at, n, parallel) * Simulation.MILLI;
        double capacity = capacity(slots, parallel);
        sim.add("a", WorkClass.NORMAL, at -> (at < 1 ? 0.5 : 2) * capacity);
        int[] least = {slots};
        double[] back = {Double.NaN};
        sim.mOnTick =
                () -> {
                    double at = sim.now() / 1e9;
                    int limit = sim.mController.limit();
                    least[0] = at > 1 ? Math.min(least[0], limit) : slots;
                    if (at >= SLOW_TO && Double.isNaN(back[0]) && limit >= 0.9 * slots) {
                        back[0] = (at - SLOW_TO) * 1000;
                    }
                };
        sim.run(END);
        return figures(sim, capacity, least[0], back[0]);
    }

    private double serviceMillis(Simulation sim, double at, int inFlight, int parallel) {
        return switch (this) {
            case BIMODAL -> sim.mRandom.nextInt(10) == 0 ? 10 * SERVICE_MILLIS : SERVICE_MILLIS;
            case SLOWDOWN -> at >= SLOW_FROM && at < SLOW_TO ? 10 * SERVICE_MILLIS : SERVICE_MILLIS;
            case CONGESTED -> SERVICE_MILLIS * Math.max(1, inFlight / (double) parallel);
            case REFUSING -> SERVICE_MILLIS;
        };
    }

    private double capacity(int slots, int parallel) {
        double perSlot = 1000 / SERVICE_MILLIS;
        return switch (this) {
            case BIMODAL -> slots * perSlot / 1.9;
            case SLOWDOWN -> slots * perSlot;
            case CONGESTED, REFUSING -> parallel * perSlot;
        };
    }

    private Figures figures(Simulation sim, double capacity, int least, double back) {
        double inTime = 0;
        double ended = 0;
        double held = 0;
        for (Simulation.Request r : sim.mRequests) {
            if (r.mEnded > 1e9) {
                ended++;
                held += (r.mEnded - r.mStarted) / Simulation.MILLI;
                inTime += r.inTime() ? 1 : 0;
            }
        }
        double slow = this == SLOWDOWN ? (SLOW_TO - SLOW_FROM) * 0.9 : 0;
        double served = inTime / (capacity * (END - 1 - slow));
        return new Figures(served, held / ended, least, back);
    }
}
