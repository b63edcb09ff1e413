package io.azurestage.core.backend;

import io.azurestage.core.context.NodeIdentity;

/**
 * What a node announces of itself and of the backend server beside it.
 *
 * @param node identity of the node
 * @param linkAddress where other nodes connect to it, {@code host:port}
 * @param dataCentre data centre of the VM
 * @param region region of the VM
 * @param server the backend server; it is {@link BackendState#GONE} if none is there
 */
public record ServerEntry(
        NodeIdentity node,
        String linkAddress,
        String dataCentre,
        String region,
        BackendServer server) {}
