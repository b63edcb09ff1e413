package io.azurestage.bench.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;

/** Reads and writes the JSON messages of etcd's v3 API. */
final class StandInStoreJson {
    static final ObjectMapper MAPPER = new ObjectMapper();

    private StandInStoreJson() {}

    static String key(JsonNode parent, String field) {
        return new String(bytes(parent, field), StandardCharsets.ISO_8859_1);
    }

    static byte[] bytes(JsonNode parent, String field) {
        return Base64.getDecoder().decode(parent.path(field).asText());
    }

    static long int64(JsonNode parent, String field) {
        String text = parent.path(field).asText();
        return text.isEmpty() ? 0 : Long.parseLong(text);
    }

    static ObjectNode response(long revision) {
        ObjectNode n = MAPPER.createObjectNode();
        n.putObject("header")
                .put("cluster_id", "1")
                .put("member_id", "1")
                .put("revision", Long.toString(revision))
                .put("raft_term", "1");
        return n;
    }

    static ObjectNode result(ObjectNode response) {
        return MAPPER.createObjectNode().set("result", response);
    }

    static ObjectNode range(long revision, List<StandInStoreChange> found) {
        ObjectNode n = response(revision);
        if (!found.isEmpty()) {
            ArrayNode kvs = n.putArray("kvs");
            found.forEach(c -> keyValue(kvs.addObject(), c));
            n.put("count", Integer.toString(found.size()));
        }
        return n;
    }

    static ObjectNode events(long revision, List<StandInStoreChange> changes) {
        ObjectNode n = response(revision);
        ArrayNode events = n.putArray("events");
        for (StandInStoreChange c : changes) {
            ObjectNode event = events.addObject();
            if (c.isRemoval()) {
                event.put("type", "DELETE");
            }
            keyValue(event.putObject("kv"), c);
        }
        return result(n);
    }

    private static void keyValue(ObjectNode kv, StandInStoreChange c) {
        kv.put("key", base64(c.key().getBytes(StandardCharsets.ISO_8859_1)));
        kv.put("mod_revision", Long.toString(c.revision()));
        if (!c.isRemoval()) {
            kv.put("value", base64(c.value()));
        }
        if (c.lease() != 0) {
            kv.put("lease", Long.toString(c.lease()));
        }
    }

    private static String base64(byte[] bytes) {
        return Base64.getEncoder().encodeToString(bytes);
    }
}
