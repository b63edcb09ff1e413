package io.azurestage.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Locale;
import java.util.Set;

/** A node as another node's member table or its own status describes it. */
record NodeRef(String nodeId, String dataCentre, String admin, String liveness) {
    private static final Set<String> GONE = Set.of("DEAD", "LEFT");

    static NodeRef member(JsonNode m) {
        return new NodeRef(
                m.path("nodeId").asText(),
                m.path("dataCentre").asText(),
                m.path("admin").asText(),
                m.path("liveness").asText());
    }

    static NodeRef self(JsonNode status, String address) {
        return new NodeRef(
                status.path("nodeId").asText(),
                status.path("dataCentre").asText(),
                address,
                "ALIVE");
    }

    static boolean isPresent(JsonNode m) {
        return !GONE.contains(m.path("liveness").asText().toUpperCase(Locale.ROOT))
                && !GONE.contains(m.path("state").asText().toUpperCase(Locale.ROOT))
                && Args.isAddress(m.path("admin").asText());
    }
}
