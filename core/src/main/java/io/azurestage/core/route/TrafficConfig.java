package io.azurestage.core.route;

import io.azurestage.core.partner.PartnerPolicy;
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
        long version, List<Route> routes, RequestLimits limits, List<PartnerPolicy> partners) {

    /** Copies the lists. */
    public TrafficConfig {
        routes = List.copyOf(routes);
        partners = List.copyOf(partners);
    }
}
