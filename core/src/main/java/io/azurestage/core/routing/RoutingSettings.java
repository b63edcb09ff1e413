package io.azurestage.core.routing;

import java.time.Duration;

/**
 * Costs that routing weighs against the expected wait at a server.
 *
 * @param sameRegionCost cost of crossing to another data centre of the same region
 * @param otherRegionCost cost of crossing to another region
 * @param warmUp how long a server that has just started gets less than its full part of the load;
 *     zero turns slow start off
 */
public record RoutingSettings(Duration sameRegionCost, Duration otherRegionCost, Duration warmUp) {

    /** Validates the durations. */
    public RoutingSettings {
        if (sameRegionCost.isNegative() || warmUp.isNegative()) {
            throw new IllegalArgumentException("costs and warm-up must not be negative");
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
     * Returns 1 ms within a region, 30 ms between regions, and 10 s of warm-up.
     *
     * @return the settings
     */
    public static RoutingSettings defaults() {
        return new RoutingSettings(
                Duration.ofMillis(1), Duration.ofMillis(30), Duration.ofSeconds(10));
    }
}
