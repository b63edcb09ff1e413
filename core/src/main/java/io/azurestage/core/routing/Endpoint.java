package io.azurestage.core.routing;

import io.azurestage.core.context.NodeIdentity;

/**
 * A backend server as routing sees it: the address of the node beside it.
 *
 * @param node the node's identity
 * @param service service of the backend server
 * @param address ingress address of the node, {@code host:port}
 * @param dataCentre data centre
 * @param region region
 * @param slots requests that the server can run at once
 * @param state whether new work may be sent
 * @param startedAtMillis start of the incarnation, epoch milliseconds, for slow start
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
        /** Cold: gets a growing part of the load. */
        WARMING,
        /** Gets its full part of the load. */
        SERVING,
        /** Gets no new work. */
        DRAINING
    }
}
