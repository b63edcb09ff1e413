package io.azurestage.core.admission;

import io.azurestage.config.WorkClass;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/** Divides the capacity over the demands: strict classes, weighted max-min inside each class. */
final class FractionPlan {
    /** Keeps feedback flowing from a service that admits nearly nothing. */
    static final double MIN_FRACTION = 0.01;

    private final List<PartnerState> mPartners;
    private final int mLimit;
    private final long mNowNanos;
    private final Map<PartnerClass, Double> mOfAll = new HashMap<>();
    private final Map<PartnerClass, Double> mOfCalls = new HashMap<>();

    /**
     * Admitted fractions below 1.
     *
     * @param ofAll of all work
     * @param ofCalls of chains whose running requests make calls here, which go first in their
     *     class
     */
    record Fractions(Map<PartnerClass, Double> ofAll, Map<PartnerClass, Double> ofCalls) {
        static final Fractions NONE = new Fractions(Map.of(), Map.of());
    }

    private FractionPlan(PartnerTable partners, int limit, long nowNanos) {
        mPartners = List.copyOf(partners.all());
        mLimit = limit;
        mNowNanos = nowNanos;
    }

    /**
     * Computes the admitted fractions.
     *
     * @param partners the partners and their shares
     * @param demand demand of a partner and class
     * @param calls the part of it that calls of running requests make
     * @param limit concurrency limit, of which the floors are parts
     * @param capacity slots to divide
     * @param nowNanos monotonic time
     * @return the fractions
     */
    static Fractions compute(
            PartnerTable partners,
            Function<PartnerClass, Demand> demand,
            Function<PartnerClass, Demand> calls,
            int limit,
            double capacity,
            long nowNanos) {
        FractionPlan plan = new FractionPlan(partners, limit, nowNanos);
        double left = capacity;
        for (WorkClass workClass : WorkClass.values()) {
            plan.divide(workClass, Math.max(0, left), calls, plan.mOfCalls);
            left -= plan.divide(workClass, Math.max(0, left), demand, plan.mOfAll);
        }
        return new Fractions(Map.copyOf(plan.mOfAll), Map.copyOf(plan.mOfCalls));
    }

    /** Divides what the more important classes leave, and returns how much of it is used. */
    private double divide(
            WorkClass workClass,
            double capacity,
            Function<PartnerClass, Demand> demand,
            Map<PartnerClass, Double> fractions) {
        int n = mPartners.size();
        Demand[] demands = new Demand[n];
        double[] claims = new double[n];
        double[] weights = new double[n];
        for (int i = 0; i < n; i++) {
            PartnerState p = mPartners.get(i);
            demands[i] = demand.apply(new PartnerClass(p.name(), workClass));
            claims[i] = Math.max(demands[i].slots(), unlentFloor(p, workClass));
            weights[i] = p.share();
        }
        double[] allotted = WaterFilling.divide(capacity, claims, weights);
        double used = 0;
        for (int i = 0; i < n; i++) {
            used += Math.min(allotted[i], demands[i].slots());
            if (demands[i].surely() > allotted[i]) {
                double fraction = Math.max(MIN_FRACTION, allotted[i] / demands[i].slots());
                fractions.put(new PartnerClass(mPartners.get(i).name(), workClass), fraction);
            }
        }
        return used;
    }

    /** The controller keeps these slots free, so the fractions must not offer them to others. */
    private double unlentFloor(PartnerState p, WorkClass workClass) {
        if (!p.isActive(workClass.ordinal(), mNowNanos)) {
            return 0;
        }
        int moreImportant = 0;
        for (int c = 0; c < workClass.ordinal(); c++) {
            moreImportant += p.usage(c).inFlight();
        }
        return Math.max(0, p.floorSlots(mLimit) - moreImportant);
    }
}
