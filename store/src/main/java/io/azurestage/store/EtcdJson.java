package io.azurestage.store;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Base64;

/**
 * Encodes and decodes messages of etcd's v3 API in JSON, which has base64 for bytes and strings for
 * 64-bit integers.
 */
final class EtcdJson {
    static final ObjectMapper MAPPER =
            new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

    private static final int MAX_BYTE = 0xff;

    private EtcdJson() {}

    static String range(String key, boolean prefix) {
        return keyRange(key, prefix).toString();
    }

    static String compareAndSwap(String key, long expectedRevision, byte[] value, long lease) {
        String key64 = base64(key.getBytes(StandardCharsets.UTF_8));
        ObjectNode txn = object();
        txn.putArray("compare")
                .addObject()
                .put("key", key64)
                .put("target", "MOD")
                .put("result", "EQUAL")
                .put("mod_revision", Long.toString(expectedRevision));
        ObjectNode put = txn.putArray("success").addObject().putObject("request_put");
        put.put("key", key64).put("value", base64(value));
        if (lease != PlatformStore.NO_LEASE) {
            put.put("lease", Long.toString(lease));
        }
        return txn.toString();
    }

    static String grant(long seconds) {
        return object().put("TTL", Long.toString(seconds)).toString();
    }

    static String keepAlive(long lease) {
        return object().put("ID", Long.toString(lease)).toString();
    }

    static String watch(String key, boolean prefix, long fromRevision) {
        ObjectNode create = keyRange(key, prefix);
        create.put("start_revision", Long.toString(fromRevision));
        return object().set("create_request", create).toString();
    }

    static JsonNode parse(byte[] body) {
        try {
            JsonNode n = MAPPER.readTree(body);
            if (!n.isObject()) {
                throw new EtcdFormatException("not a JSON object");
            }
            return n;
        } catch (IOException e) {
            throw new EtcdFormatException("not JSON");
        }
    }

    static long revision(JsonNode response) {
        return int64(response.path("header"), "revision");
    }

    static long int64(JsonNode parent, String field) {
        JsonNode n = parent.path(field);
        if (n.isIntegralNumber()) {
            return n.asLong();
        }
        try {
            return Long.parseLong(n.isTextual() ? n.asText() : "");
        } catch (NumberFormatException e) {
            throw new EtcdFormatException("field " + field + " is not a 64-bit integer");
        }
    }

    static Versioned versioned(JsonNode kv) {
        return new Versioned(key(kv), bytes(kv, "value"), int64(kv, "mod_revision"));
    }

    static String key(JsonNode kv) {
        return new String(bytes(kv, "key"), StandardCharsets.UTF_8);
    }

    private static byte[] bytes(JsonNode parent, String field) {
        try {
            return Base64.getDecoder().decode(parent.path(field).asText());
        } catch (IllegalArgumentException e) {
            throw new EtcdFormatException("field " + field + " is not base64");
        }
    }

    private static ObjectNode keyRange(String key, boolean prefix) {
        byte[] bytes = key.getBytes(StandardCharsets.UTF_8);
        ObjectNode n = object().put("key", base64(bytes));
        return prefix ? n.put("range_end", base64(prefixEnd(bytes))) : n;
    }

    /** Returns the exclusive end of the keys with the prefix; one zero byte stands for no end. */
    private static byte[] prefixEnd(byte[] prefix) {
        for (int i = prefix.length - 1; i >= 0; i--) {
            if ((prefix[i] & MAX_BYTE) != MAX_BYTE) {
                byte[] end = Arrays.copyOf(prefix, i + 1);
                end[i]++;
                return end;
            }
        }
        return new byte[1];
    }

    private static ObjectNode object() {
        return JsonNodeFactory.instance.objectNode();
    }

    private static String base64(byte[] bytes) {
        return Base64.getEncoder().encodeToString(bytes);
    }
}
