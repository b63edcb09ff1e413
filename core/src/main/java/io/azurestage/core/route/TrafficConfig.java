package io.azurestage.core.route;

import java.util.List;

/**
 * A version of the operator's traffic configuration.
 *
 * @param version version number, which increases with each change
 * @param routes all routes
 * @param limits limits for requests of callers
 */
public record TrafficConfig(long version, List<Route> routes, RequestLimits limits) {

    /** Copies the routes. */
    public TrafficConfig {
        routes = List.copyOf(routes);
    }
}
