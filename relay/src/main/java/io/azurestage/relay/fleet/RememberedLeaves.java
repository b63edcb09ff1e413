package io.azurestage.relay.fleet;

import io.azurestage.core.backend.BackendServer;
import io.azurestage.core.backend.BackendState;
import io.azurestage.core.backend.ServerEntry;
import io.azurestage.core.memory.BoundedMap;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * The servers whose leaving other nodes have acknowledged, as their entries named them. When the
 * store is restored from an older copy it may have lost the record of a leave, and the node that
 * acknowledged it may restart; the others still know. What an entry names counts for its own key
 * only. Not thread-safe.
 */
final class RememberedLeaves {
    /** Nodes to remember servers for. */
    private static final int MAX_NODES = 4_096;

    /** Servers to remember beside a node. */
    private static final int MAX_SERVERS = 16;

    private final Map<String, Map<String, Long>> mLeftByKey = new BoundedMap<>(MAX_NODES);

    /** Remembers what the entry at a key names. */
    void add(String key, ServerEntry entry) {
        Map<String, Long> left = new HashMap<>(entry.left());
        if (entry.server().state() == BackendState.DRAINING) {
            left.put(entry.server().serverId(), entry.server().startedAtMillis());
        }
        if (!left.isEmpty()) {
            Map<String, Long> known =
                    mLeftByKey.computeIfAbsent(key, k -> new BoundedMap<>(MAX_SERVERS));
            left.forEach((id, startedAtMillis) -> known.merge(id, startedAtMillis, Math::max));
        }
    }

    /**
     * Returns the newest incarnation of a server that has left, if the entry at a key names that
     * one or an earlier one as ready.
     */
    OptionalLong contradicted(String key, BackendServer server) {
        Long left = mLeftByKey.getOrDefault(key, Map.of()).get(server.serverId());
        boolean wrong =
                left != null
                        && server.state() == BackendState.READY
                        && server.startedAtMillis() <= left;
        return wrong ? OptionalLong.of(left) : OptionalLong.empty();
    }
}
