package io.azurestage.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Locale;
import java.util.Set;

/**
 * A node, from the member list of another node or from its own status.
 *
 * @param admin admin address, HOST:PORT
 * @param liveness liveness as another node reports it; ALIVE if taken from the node's own status
 */
record NodeRef(String nodeId, String dataCentre, String admin, String liveness) {
    private static final Set<String> DEAD_OR_LEFT = Set.of("DEAD", "LEFT");

    static NodeRef fromMember(JsonNode m) {
        return new NodeRef(
                m.path("nodeId").asText(),
                m.path("dataCentre").asText(),
                m.path("admin").asText(),
                m.path("liveness").asText());
    }

    static NodeRef fromStatus(JsonNode status, String address) {
        return new NodeRef(
                status.path("nodeId").asText(),
                status.path("dataCentre").asText(),
                address,
                "ALIVE");
    }

    /** Reports whether a member list entry is neither dead nor left and has an admin address. */
    static boolean isPresent(JsonNode m) {
        return !DEAD_OR_LEFT.contains(m.path("liveness").asText().toUpperCase(Locale.ROOT))
                && !DEAD_OR_LEFT.contains(m.path("state").asText().toUpperCase(Locale.ROOT))
                && Args.isAddress(m.path("admin").asText());
    }
}
