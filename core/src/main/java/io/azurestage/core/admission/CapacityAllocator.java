package io.azurestage.core.admission;

import io.azurestage.config.WorkClass;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * Computes admitted fractions by allocating the capacity to the demands: by strict priority between
 * classes, and by weighted max-min fairness between the partners of a class.
 */
final class CapacityAllocator {
    /** Lower bound that keeps some requests, and so feedback, flowing from a saturated service. */
    static final double MIN_FRACTION = 0.01;

    private final List<PartnerState> mPartners;
    private final int mLimit;
    private final long mNowNanos;
    private final Map<PartnerClass, Double> mAllFractions = new HashMap<>();
    private final Map<PartnerClass, Double> mCallFractions = new HashMap<>();

    /**
     * Admitted fractions below 1.
     *
     * @param all fractions of all work
     * @param calls fractions of chains whose running requests call this server; such calls take
     *     precedence within their class
     */
    record Fractions(Map<PartnerClass, Double> all, Map<PartnerClass, Double> calls) {
        static final Fractions NONE = new Fractions(Map.of(), Map.of());
    }

    private CapacityAllocator(PartnerTable partners, int limit, long nowNanos) {
        mPartners = List.copyOf(partners.all());
        mLimit = limit;
        mNowNanos = nowNanos;
    }

    /**
     * Computes the admitted fractions.
     *
     * @param partners the partners and their shares
     * @param demand total demand of a partner and class
     * @param calls the part of the demand that consists of calls made by running requests
     * @param limit concurrency limit, to which the percentages of the floors apply
     * @param capacity slots to allocate
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
        CapacityAllocator allocation = new CapacityAllocator(partners, limit, nowNanos);
        double remaining = capacity;
        for (WorkClass workClass : WorkClass.values()) {
            allocation.allocate(
                    workClass, Math.max(0, remaining), calls, allocation.mCallFractions);
            remaining -=
                    allocation.allocate(
                            workClass, Math.max(0, remaining), demand, allocation.mAllFractions);
        }
        return new Fractions(
                Map.copyOf(allocation.mAllFractions), Map.copyOf(allocation.mCallFractions));
    }

    /** Allocates the capacity that higher classes leave unused, and returns the part in use. */
    private double allocate(
            WorkClass workClass,
            double capacity,
            Function<PartnerClass, Demand> demand,
            Map<PartnerClass, Double> fractions) {
        int n = mPartners.size();
        Demand[] demands = new Demand[n];
        double[] requested = new double[n];
        double[] weights = new double[n];
        for (int i = 0; i < n; i++) {
            PartnerState p = mPartners.get(i);
            demands[i] = demand.apply(new PartnerClass(p.name(), workClass));
            requested[i] = Math.max(demands[i].slots(), reservedFloor(p, workClass));
            weights[i] = p.share();
        }
        double[] allocated = WaterFilling.allocate(capacity, requested, weights);
        double used = 0;
        for (int i = 0; i < n; i++) {
            used += Math.min(allocated[i], demands[i].slots());
            if (demands[i].lowerBound() > allocated[i]) {
                double fraction = Math.max(MIN_FRACTION, allocated[i] / demands[i].slots());
                fractions.put(new PartnerClass(mPartners.get(i).name(), workClass), fraction);
            }
        }
        return used;
    }

    /**
     * Returns the slots of a floor that are reserved and not in use by higher classes. The
     * controller keeps them free, so the fractions must not offer them to other partners.
     */
    private double reservedFloor(PartnerState p, WorkClass workClass) {
        if (!p.isActive(workClass.ordinal(), mNowNanos)) {
            return 0;
        }
        int higherClassInFlight = 0;
        for (int c = 0; c < workClass.ordinal(); c++) {
            higherClassInFlight += p.usage(c).inFlight();
        }
        return Math.max(0, p.floorSlots(mLimit) - higherClassInFlight);
    }
}
