package io.azurestage.core.route;

import java.time.Duration;
import java.util.List;

/**
 * Routing rule for the requests with a given host and path prefix.
 *
 * @param name unique name, used in logs and as the operation of a call chain
 * @param host value of the Host header, in lower case
 * @param prefix path prefix, beginning and ending with a slash
 * @param idempotent whether a request may run more than once
 * @param rank rank by importance; 0 is the most important
 * @param maxAttempts maximum number of backend servers that one request may be sent to
 * @param timeout maximum time to answer a caller
 * @param target target latency
 * @param open whether callers need no access key
 * @param targets services that the requests are divided between, at least one
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
        boolean open,
        List<RouteTarget> targets) {

    /** Copies the targets and validates the components. */
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
