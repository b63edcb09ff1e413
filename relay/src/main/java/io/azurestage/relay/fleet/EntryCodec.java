package io.azurestage.relay.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.azurestage.core.backend.BackendServer;
import io.azurestage.core.backend.BackendState;
import io.azurestage.core.backend.ServerEntry;
import io.azurestage.core.context.NodeIdentity;
import io.azurestage.mesh.Address;
import java.io.IOException;
import java.io.UncheckedIOException;

/** Entries as JSON. */
final class EntryCodec {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private EntryCodec() {}

    static byte[] encode(ServerEntry e) {
        ObjectNode n = MAPPER.createObjectNode();
        n.put("nodeId", e.node().nodeId());
        n.put("incarnation", e.node().incarnation());
        n.put("link", e.linkAddress());
        n.put("dataCentre", e.dataCentre());
        n.put("region", e.region());
        ObjectNode s = n.putObject("server");
        s.put("id", e.server().serverId());
        s.put("startedAtMillis", e.server().startedAtMillis());
        s.put("service", e.server().service());
        s.put("address", e.server().address());
        s.put("slots", e.server().slots());
        s.put("state", e.server().state().name());
        try {
            return MAPPER.writeValueAsBytes(n);
        } catch (IOException x) {
            throw new UncheckedIOException("a tree of JSON values can always be written", x);
        }
    }

    /**
     * Reads an entry.
     *
     * @throws IOException if it is not an entry that a node has written
     */
    static ServerEntry decode(byte[] bytes) throws IOException {
        JsonNode n = MAPPER.readTree(bytes);
        JsonNode s = n.path("server");
        try {
            BackendServer server =
                    new BackendServer(
                            text(s, "id"),
                            s.path("startedAtMillis").asLong(),
                            text(s, "service"),
                            text(s, "address"),
                            s.path("slots").asInt(),
                            BackendState.valueOf(text(s, "state")));
            if (server.slots() < 1) {
                throw new IOException("slots is missing or not positive");
            }
            if (Address.parse(n.path("link").asText()).isEmpty()) {
                throw new IOException("link is not of the form IP:PORT");
            }
            return new ServerEntry(
                    new NodeIdentity(text(n, "nodeId"), n.path("incarnation").asLong()),
                    text(n, "link"),
                    text(n, "dataCentre"),
                    text(n, "region"),
                    server);
        } catch (IllegalArgumentException e) {
            throw new IOException("unknown state", e);
        }
    }

    private static String text(JsonNode n, String field) throws IOException {
        JsonNode value = n.path(field);
        if (!value.isTextual() || value.asText().isEmpty()) {
            throw new IOException(field + " is missing or not a text");
        }
        return value.asText();
    }
}
