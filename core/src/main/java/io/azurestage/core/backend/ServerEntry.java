package io.azurestage.core.backend;

import io.azurestage.core.context.NodeIdentity;

/**
 * Announcement of a node about itself and the backend server beside it.
 *
 * @param node identity of the node
 * @param linkAddress address at which other nodes connect to the node, {@code host:port}
 * @param dataCentre data centre of the VM
 * @param region region of the VM
 * @param server the backend server; its state is {@link BackendState#GONE} if there is none
 */
public record ServerEntry(
        NodeIdentity node,
        String linkAddress,
        String dataCentre,
        String region,
        BackendServer server) {}
