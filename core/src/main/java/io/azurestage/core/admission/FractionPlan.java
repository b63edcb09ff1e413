package io.azurestage.core.admission;

import io.azurestage.config.WorkClass;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/** Divides the capacity over the demands: strict classes, weighted max-min inside each class. */
final class FractionPlan {
    /** Keeps feedback flowing from a service that admits nearly nothing. */
    static final double MIN_FRACTION = 0.01;

    private final PartnerTable mPartners;

    FractionPlan(PartnerTable partners) {
        mPartners = partners;
    }

    /**
     * Computes the admitted fractions.
     *
     * @param limit concurrency limit
     * @param capacity slots to divide
     * @param slots demand of a partner and class in slots
     * @return fractions below 1
     */
    Map<PartnerClass, Double> compute(
            int limit, double capacity, ToDoubleFunction<PartnerClass> slots, long nowNanos) {
        Map<PartnerClass, Double> fractions = new HashMap<>();
        List<PartnerState> partners = List.copyOf(mPartners.all());
        double left = capacity;
        for (WorkClass workClass : WorkClass.values()) {
            left -= divide(limit, left, partners, workClass, slots, nowNanos, fractions);
        }
        return Map.copyOf(fractions);
    }

    private double divide(
            int limit,
            double capacity,
            List<PartnerState> partners,
            WorkClass workClass,
            ToDoubleFunction<PartnerClass> slots,
            long nowNanos,
            Map<PartnerClass, Double> fractions) {
        int n = partners.size();
        double[] demands = new double[n];
        double[] claims = new double[n];
        double[] weights = new double[n];
        for (int i = 0; i < n; i++) {
            PartnerState p = partners.get(i);
            demands[i] = slots.applyAsDouble(new PartnerClass(p.name(), workClass));
            claims[i] = Math.max(demands[i], unlentFloor(p, workClass, limit, nowNanos));
            weights[i] = p.share();
        }
        double[] allotted = WaterFilling.divide(Math.max(0, capacity), claims, weights);
        double used = 0;
        for (int i = 0; i < n; i++) {
            used += Math.min(allotted[i], demands[i]);
            if (demands[i] > allotted[i]) {
                double fraction = Math.max(MIN_FRACTION, allotted[i] / demands[i]);
                fractions.put(new PartnerClass(partners.get(i).name(), workClass), fraction);
            }
        }
        return used;
    }

    private static double unlentFloor(PartnerState p, WorkClass c, int limit, long nowNanos) {
        if (!p.isActive(c.ordinal(), nowNanos)) {
            return 0;
        }
        int more = 0;
        for (int i = 0; i < c.ordinal(); i++) {
            more += p.usage(i).inFlight();
        }
        return Math.max(0, p.floorSlots(limit) - more);
    }
}
