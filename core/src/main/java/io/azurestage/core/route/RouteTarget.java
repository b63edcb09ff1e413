package io.azurestage.core.route;

/**
 * A service that a route sends requests to.
 *
 * @param service name of the service
 * @param weight share of the route's requests, relative to the other targets; not negative
 */
public record RouteTarget(String service, int weight) {

    /** Validates the components. */
    public RouteTarget {
        if (service.isEmpty()) {
            throw new IllegalArgumentException("the route target has no service name; set one");
        }
        if (weight < 0) {
            throw new IllegalArgumentException("weight is " + weight + "; use 0 or more");
        }
    }
}
