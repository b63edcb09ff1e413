package io.azurestage.core.admission;

import java.util.Collections;
import java.util.HashMap;
import java.util.Map;

/**
 * Estimates the offered request rate by partner and class, including the requests that entry nodes
 * refuse: each arrival counts as the inverse of the fraction that its entry node admits.
 */
final class ArrivalRates {
    private static final double NEGLIGIBLE_RATE_PER_SECOND = 0.1;

    private final Map<PartnerClass, ArrivalRateEstimator> mEstimators = new HashMap<>();

    void arrived(PartnerClass key, double entryFraction) {
        double fraction = Math.max(CapacityAllocator.MIN_FRACTION, Math.min(1, entryFraction));
        mEstimators.computeIfAbsent(key, k -> new ArrivalRateEstimator()).arrived(1 / fraction);
    }

    void endWindow(double seconds) {
        mEstimators.values().forEach(e -> e.endWindow(seconds));
        mEstimators.values().removeIf(e -> e.rate() < NEGLIGIBLE_RATE_PER_SECOND);
    }

    Map<PartnerClass, ArrivalRateEstimator> estimators() {
        return Collections.unmodifiableMap(mEstimators);
    }
}
