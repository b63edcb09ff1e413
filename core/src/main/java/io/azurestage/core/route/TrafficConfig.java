package io.azurestage.core.route;

import java.util.List;

/**
 * One version of the operator's traffic configuration.
 *
 * @param version number that grows with each change
 * @param routes all routes
 * @param limits bounds for callers
 */
public record TrafficConfig(long version, List<Route> routes, RequestLimits limits) {

    /** Copies the routes. */
    public TrafficConfig {
        routes = List.copyOf(routes);
    }
}
