package io.azurestage.core.route;

/**
 * A service that a route leads to.
 *
 * @param service name of the service
 * @param weight part of the route's requests, relative to the other targets; not negative
 */
public record RouteTarget(String service, int weight) {

    /** Validates the fields. */
    public RouteTarget {
        if (service.isEmpty()) {
            throw new IllegalArgumentException("the service has no name; name one");
        }
        if (weight < 0) {
            throw new IllegalArgumentException("weight is " + weight + "; use 0 or more");
        }
    }
}
