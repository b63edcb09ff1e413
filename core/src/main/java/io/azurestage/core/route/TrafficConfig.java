package io.azurestage.core.route;

import io.azurestage.core.partner.PartnerDirectory;
import java.util.List;

/**
 * A version of the operator's traffic configuration.
 *
 * @param version version number, which increases with each change
 * @param routes all routes
 * @param limits limits for requests of callers
 * @param partners all partners; if there are none, requests need no access key
 */
public record TrafficConfig(
        long version, List<Route> routes, RequestLimits limits, PartnerDirectory partners) {

    /** Copies the routes. */
    public TrafficConfig {
        routes = List.copyOf(routes);
    }
}
