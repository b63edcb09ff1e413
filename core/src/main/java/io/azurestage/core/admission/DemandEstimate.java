package io.azurestage.core.admission;

import java.util.Collections;
import java.util.HashMap;
import java.util.Map;

/** Offered demand by partner and class, including what entry nodes refuse. */
final class DemandEstimate {
    private static final double NEGLIGIBLE_PER_SECOND = 0.1;

    private final Map<PartnerClass, DemandWindow> mWindows = new HashMap<>();

    void arrived(PartnerClass key, double entryFraction) {
        double fraction = Math.max(FractionPlan.MIN_FRACTION, Math.min(1, entryFraction));
        mWindows.computeIfAbsent(key, k -> new DemandWindow()).arrived(1 / fraction);
    }

    void roll(double seconds) {
        mWindows.values().forEach(w -> w.roll(seconds));
        mWindows.values().removeIf(w -> w.rate() < NEGLIGIBLE_PER_SECOND);
    }

    Map<PartnerClass, DemandWindow> windows() {
        return Collections.unmodifiableMap(mWindows);
    }
}
