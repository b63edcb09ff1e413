package io.azurestage.core.routing;

import java.time.Duration;

/**
 * Crossing costs that routing compares with the expected wait at a server, and the slow-start time.
 *
 * @param sameRegionCost cost of crossing to another data centre of the same region
 * @param otherRegionCost cost of crossing to another region
 * @param warmUp time after its start during which a server receives less than its full share of the
 *     load; zero disables slow start
 */
public record RoutingSettings(Duration sameRegionCost, Duration otherRegionCost, Duration warmUp) {

    /** Validates the durations. */
    public RoutingSettings {
        if (sameRegionCost.isNegative() || warmUp.isNegative()) {
            throw new IllegalArgumentException("sameRegionCost and warmUp must not be negative");
        }
        if (otherRegionCost.compareTo(sameRegionCost) < 0) {
            throw new IllegalArgumentException(
                    "crossing to another region must cost at least "
                            + sameRegionCost
                            + ", not "
                            + otherRegionCost);
        }
    }

    /**
     * Returns the defaults: 1 ms within a region, 30 ms between regions, and 10 s of warm-up.
     *
     * @return the settings
     */
    public static RoutingSettings defaults() {
        return new RoutingSettings(
                Duration.ofMillis(1), Duration.ofMillis(30), Duration.ofSeconds(10));
    }
}
