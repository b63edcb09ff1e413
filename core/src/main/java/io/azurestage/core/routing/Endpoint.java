package io.azurestage.core.routing;

import io.azurestage.core.context.NodeIdentity;

/**
 * A backend server as a routing target, reached through the node beside it.
 *
 * @param node the node's identity
 * @param service service of the backend server
 * @param address ingress address of the node, {@code host:port}
 * @param dataCentre data centre
 * @param region region
 * @param slots number of requests that the server can run concurrently
 * @param state whether new work may be sent
 * @param startedAtMillis start of the incarnation in epoch milliseconds, used for slow start
 */
public record Endpoint(
        NodeIdentity node,
        String service,
        String address,
        String dataCentre,
        String region,
        int slots,
        State state,
        long startedAtMillis) {

    /** Whether new work may be sent to a backend server. */
    public enum State {
        /** In slow start: receives a growing share of the load. */
        WARMING,
        /** Receives its full share of the load. */
        SERVING,
        /** Receives no new work. */
        DRAINING
    }
}
