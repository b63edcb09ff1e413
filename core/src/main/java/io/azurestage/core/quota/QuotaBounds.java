package io.azurestage.core.quota;

import io.azurestage.core.partner.QuotaLimit;
import java.time.Duration;

/**
 * How closely quotas must be kept. In any window, the admitted requests of a partner may exceed
 * those that its token bucket allows by the overage and the slack.
 *
 * @param window length of the window
 * @param overage excess allowed, relative to the requests that the bucket allows in a window
 * @param slack further requests allowed in a window
 */
public record QuotaBounds(Duration window, double overage, double slack) {
    private static final double NANOS_PER_SECOND = 1e9;

    /**
     * Returns how many requests beyond the token bucket may be admitted in one window.
     *
     * @param limit limit of the partner
     * @return the number of requests
     */
    public double tolerance(QuotaLimit limit) {
        return overage * (limit.ratePerSecond() * windowSeconds() + limit.burst()) + slack;
    }

    double windowSeconds() {
        return window.toNanos() / NANOS_PER_SECOND;
    }
}
