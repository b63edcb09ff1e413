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

    private final Map<PartnerClass, ArrivalRateEstimator> mWindows = new HashMap<>();

    void arrived(PartnerClass key, double entryFraction) {
        double fraction = Math.max(CapacityAllocator.MIN_FRACTION, Math.min(1, entryFraction));
        mWindows.computeIfAbsent(key, k -> new ArrivalRateEstimator()).arrived(1 / fraction);
    }

    void endWindow(double seconds) {
        mWindows.values().forEach(w -> w.endWindow(seconds));
        mWindows.values().removeIf(w -> w.rate() < NEGLIGIBLE_RATE_PER_SECOND);
    }

    Map<PartnerClass, ArrivalRateEstimator> windows() {
        return Collections.unmodifiableMap(mWindows);
    }
}
