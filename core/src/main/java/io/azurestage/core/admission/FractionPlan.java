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
    private final Function<PartnerClass, Demand> mDemand;
    private final int mLimit;
    private final long mNowNanos;
    private final Map<PartnerClass, Double> mFractions = new HashMap<>();

    private FractionPlan(
            PartnerTable partners,
            Function<PartnerClass, Demand> demand,
            int limit,
            long nowNanos) {
        mPartners = List.copyOf(partners.all());
        mDemand = demand;
        mLimit = limit;
        mNowNanos = nowNanos;
    }

    /**
     * Computes the admitted fractions.
     *
     * @param partners the partners and their shares
     * @param demand demand of a partner and class
     * @param limit concurrency limit, of which the floors are parts
     * @param capacity slots to divide
     * @param nowNanos monotonic time
     * @return an immutable map of the fractions below 1
     */
    static Map<PartnerClass, Double> compute(
            PartnerTable partners,
            Function<PartnerClass, Demand> demand,
            int limit,
            double capacity,
            long nowNanos) {
        FractionPlan plan = new FractionPlan(partners, demand, limit, nowNanos);
        double left = capacity;
        for (WorkClass workClass : WorkClass.values()) {
            left -= plan.divide(workClass, Math.max(0, left));
        }
        return Map.copyOf(plan.mFractions);
    }

    /** Divides what the more important classes leave, and returns how much of it is used. */
    private double divide(WorkClass workClass, double capacity) {
        int n = mPartners.size();
        Demand[] demands = new Demand[n];
        double[] claims = new double[n];
        double[] weights = new double[n];
        for (int i = 0; i < n; i++) {
            PartnerState p = mPartners.get(i);
            demands[i] = mDemand.apply(new PartnerClass(p.name(), workClass));
            claims[i] = Math.max(demands[i].slots(), unlentFloor(p, workClass));
            weights[i] = p.share();
        }
        double[] allotted = WaterFilling.divide(capacity, claims, weights);
        double used = 0;
        for (int i = 0; i < n; i++) {
            used += Math.min(allotted[i], demands[i].slots());
            if (demands[i].surely() > allotted[i]) {
                double fraction = Math.max(MIN_FRACTION, allotted[i] / demands[i].slots());
                mFractions.put(new PartnerClass(mPartners.get(i).name(), workClass), fraction);
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
