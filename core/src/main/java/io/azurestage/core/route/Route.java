package io.azurestage.core.route;

import java.time.Duration;
import java.util.List;

/**
 * How requests with one host and path prefix are treated.
 *
 * @param name unique name, used in logs and as the operation of a call chain
 * @param host value of the Host header, in lower case
 * @param prefix beginning of the path, with a slash at both ends
 * @param idempotent whether a request may run more than once
 * @param rank importance, 0 first
 * @param maxAttempts most backend servers that one request may be sent to
 * @param timeout longest time a caller is kept waiting
 * @param target latency that callers aim for
 * @param targets services, at least one
 */
public record Route(
        String name,
        String host,
        String prefix,
        boolean idempotent,
        int rank,
        int maxAttempts,
        Duration timeout,
        Duration target,
        List<RouteTarget> targets) {

    /** Copies the targets and validates the fields. */
    public Route {
        targets = List.copyOf(targets);
        if (targets.isEmpty()) {
            throw new IllegalArgumentException("route " + name + " has no service; name one");
        }
        if (!prefix.startsWith("/") || !prefix.endsWith("/")) {
            throw new IllegalArgumentException(
                    "prefix " + prefix + " of route " + name + " must begin and end with a slash");
        }
        if (rank < 0 || maxAttempts < 1) {
            throw new IllegalArgumentException(
                    "route " + name + " needs a rank of 0 or more and at least one attempt");
        }
    }
}
