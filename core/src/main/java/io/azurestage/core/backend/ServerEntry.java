package io.azurestage.core.backend;

import io.azurestage.core.context.NodeIdentity;
import java.util.Map;

/**
 * Announcement of a node about itself and the backend server beside it.
 *
 * @param node identity of the node
 * @param linkAddress address at which other nodes connect to the node, {@code host:port}
 * @param dataCentre data centre of the VM
 * @param region region of the VM
 * @param server the backend server; its state is {@link BackendState#GONE} if there is none
 * @param left start times of the servers whose leaving the node has acknowledged, by id, in epoch
 *     milliseconds; other nodes remember them for it
 */
public record ServerEntry(
        NodeIdentity node,
        String linkAddress,
        String dataCentre,
        String region,
        BackendServer server,
        Map<String, Long> left) {

    /** Copies the map. */
    public ServerEntry {
        left = Map.copyOf(left);
    }

    /**
     * Creates an entry of a node that has not acknowledged that a server leaves.
     *
     * @param node identity of the node
     * @param linkAddress address at which other nodes connect to the node, {@code host:port}
     * @param dataCentre data centre of the VM
     * @param region region of the VM
     * @param server the backend server
     */
    public ServerEntry(
            NodeIdentity node,
            String linkAddress,
            String dataCentre,
            String region,
            BackendServer server) {
        this(node, linkAddress, dataCentre, region, server, Map.of());
    }

    /**
     * Returns this entry with its server in another state.
     *
     * @param state state of the server
     * @return a copy
     */
    public ServerEntry withServerState(BackendState state) {
        return new ServerEntry(
                node, linkAddress, dataCentre, region, server.withState(state), left);
    }
}
