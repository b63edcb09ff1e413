package io.azurestage.core.admission;

import io.azurestage.config.WorkClass;

/** Server behaviours for tests of the limit, with twice the capacity offered from second 1 on. */
enum ServerModel {
    /** One response in ten takes ten times as long. */
    BIMODAL,
    /** From second 3 to 5, all responses take ten times as long. */
    SLOWDOWN,
    /** Only a tenth of the slots run in parallel; further requests slow each other down. */
    CONGESTED,
    /** Refuses concurrent requests above a tenth of its slots. */
    REFUSING;

    static final double SLOW_FROM_SECONDS = 3;
    static final double SLOW_TO_SECONDS = 5;
    private static final double END_SECONDS = 8;
    private static final double SERVICE_MILLIS = 10;

    /**
     * Figures from the first second on.
     *
     * @param servedRatio requests served in time relative to the capacity of the server
     * @param meanMillis mean service time in milliseconds
     * @param lowestLimit lowest limit
     * @param recoveryMillis time from the end of the slowdown until the limit is 0.9 of the slots
     */
    record Figures(double servedRatio, double meanMillis, int lowestLimit, double recoveryMillis) {}

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
        ServerSimulation sim = new ServerSimulation(slots, SurgeScenario.CONFIG, t, seed);
        sim.mDeadlineNanos = (long) (200 * ServerSimulation.NANOS_PER_MILLI);
        int parallelism = Math.max(1, slots / 10);
        sim.mServerSlots = this == REFUSING ? parallelism : Integer.MAX_VALUE;
        sim.mServiceNanos =
                (seconds, n) ->
                        serviceMillis(sim, seconds, n, parallelism)
                                * ServerSimulation.NANOS_PER_MILLI;
        double capacity = capacity(slots, parallelism);
        sim.add("a", WorkClass.NORMAL, seconds -> (seconds < 1 ? 0.5 : 2) * capacity);
        int[] lowest = {slots};
        double[] recovery = {Double.NaN};
        sim.mOnTick =
                () -> {
                    double seconds = sim.now() / 1e9;
                    int limit = sim.mController.limit();
                    lowest[0] = seconds > 1 ? Math.min(lowest[0], limit) : slots;
                    if (seconds >= SLOW_TO_SECONDS
                            && Double.isNaN(recovery[0])
                            && limit >= 0.9 * slots) {
                        recovery[0] = (seconds - SLOW_TO_SECONDS) * 1000;
                    }
                };
        sim.run(END_SECONDS);
        return figures(sim, capacity, lowest[0], recovery[0]);
    }

    private double serviceMillis(
            ServerSimulation sim, double seconds, int inFlight, int parallelism) {
        return switch (this) {
            case BIMODAL -> sim.mRandom.nextInt(10) == 0 ? 10 * SERVICE_MILLIS : SERVICE_MILLIS;
            case SLOWDOWN ->
                    seconds >= SLOW_FROM_SECONDS && seconds < SLOW_TO_SECONDS
                            ? 10 * SERVICE_MILLIS
                            : SERVICE_MILLIS;
            case CONGESTED -> SERVICE_MILLIS * Math.max(1, inFlight / (double) parallelism);
            case REFUSING -> SERVICE_MILLIS;
        };
    }

    private double capacity(int slots, int parallelism) {
        double perSlot = 1000 / SERVICE_MILLIS;
        return switch (this) {
            case BIMODAL -> slots * perSlot / 1.9;
            case SLOWDOWN -> slots * perSlot;
            case CONGESTED, REFUSING -> parallelism * perSlot;
        };
    }

    private Figures figures(ServerSimulation sim, double capacity, int lowest, double recovery) {
        double servedInTime = 0;
        double completed = 0;
        double serviceMillisSum = 0;
        for (ServerSimulation.Request r : sim.mRequests) {
            if (r.mEndedNanos > 1e9) {
                completed++;
                serviceMillisSum +=
                        (r.mEndedNanos - r.mStartedNanos) / ServerSimulation.NANOS_PER_MILLI;
                servedInTime += r.isInTime() ? 1 : 0;
            }
        }
        double slowSeconds = this == SLOWDOWN ? (SLOW_TO_SECONDS - SLOW_FROM_SECONDS) * 0.9 : 0;
        double servedRatio = servedInTime / (capacity * (END_SECONDS - 1 - slowSeconds));
        return new Figures(servedRatio, serviceMillisSum / completed, lowest, recovery);
    }
}
