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
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.TreeMap;

/** Encodes and decodes the JSON form of server entries in the store. */
final class EntryCodec {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private EntryCodec() {}

    static byte[] encode(ServerEntry entry) {
        ObjectNode root = MAPPER.createObjectNode();
        root.put("nodeId", entry.node().nodeId());
        root.put("incarnation", entry.node().incarnation());
        root.put("link", entry.linkAddress());
        root.put("dataCentre", entry.dataCentre());
        root.put("region", entry.region());
        ObjectNode serverNode = root.putObject("server");
        serverNode.put("id", entry.server().serverId());
        serverNode.put("startedAtMillis", entry.server().startedAtMillis());
        serverNode.put("service", entry.server().service());
        serverNode.put("address", entry.server().address());
        serverNode.put("slots", entry.server().slots());
        serverNode.put("state", entry.server().state().name());
        if (!entry.left().isEmpty()) {
            ObjectNode left = root.putObject("left");
            new TreeMap<>(entry.left()).forEach(left::put);
        }
        try {
            return MAPPER.writeValueAsBytes(root);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot serialise a server entry to JSON", e);
        }
    }

    /**
     * Decodes an entry.
     *
     * @throws IOException if the bytes are not valid JSON, or a field is missing or invalid
     */
    static ServerEntry decode(byte[] bytes) throws IOException {
        JsonNode root = MAPPER.readTree(bytes);
        JsonNode serverNode = root.path("server");
        try {
            BackendServer server =
                    new BackendServer(
                            text(serverNode, "id"),
                            integer(serverNode, "startedAtMillis"),
                            text(serverNode, "service"),
                            address(serverNode, "address"),
                            Math.toIntExact(integer(serverNode, "slots")),
                            BackendState.valueOf(text(serverNode, "state")));
            return new ServerEntry(
                    new NodeIdentity(text(root, "nodeId"), integer(root, "incarnation")),
                    address(root, "link"),
                    text(root, "dataCentre"),
                    text(root, "region"),
                    server,
                    left(root.path("left")));
        } catch (IllegalArgumentException | ArithmeticException e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    private static Map<String, Long> left(JsonNode node) throws IOException {
        Map<String, Long> left = new HashMap<>();
        for (Iterator<String> ids = node.fieldNames(); ids.hasNext(); ) {
            String id = ids.next();
            long startedAtMillis = integer(node, id);
            BackendServer.checkStart(startedAtMillis);
            left.put(id, startedAtMillis);
        }
        return left;
    }

    private static long integer(JsonNode node, String field) throws IOException {
        JsonNode value = node.path(field);
        if (!value.isIntegralNumber() || !value.canConvertToLong()) {
            throw new IOException(field + " is missing or not a whole number in range");
        }
        return value.asLong();
    }

    private static String address(JsonNode node, String field) throws IOException {
        String value = text(node, field);
        if (Address.parseRemote(value).isEmpty()) {
            throw new IOException(field + " is not of the form IP:PORT");
        }
        return value;
    }

    private static String text(JsonNode node, String field) throws IOException {
        JsonNode value = node.path(field);
        if (!value.isTextual() || value.asText().isEmpty()) {
            throw new IOException(field + " is missing or not a text");
        }
        return value.asText();
    }
}
