package io.azurestage.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** A JSON value and its path. The accessors do not convert between types. */
record JsonValue(String path, JsonNode node) {

    /** Requires this to be an object that has no fields other than the given ones. */
    JsonValue object(String... fields) {
        JsonValue o = object();
        Set<String> unknown = new TreeSet<>();
        node.fieldNames().forEachRemaining(unknown::add);
        unknown.removeAll(Set.of(fields));
        if (!unknown.isEmpty()) {
            String name = unknown.iterator().next();
            throw new ConfigException(
                    path + "." + name,
                    "unknown field",
                    "remove it or use one of " + String.join(", ", fields));
        }
        return o;
    }

    private JsonValue object() {
        return require(node.isObject(), "a JSON object");
    }

    Map<String, JsonValue> entries() {
        object();
        Map<String, JsonValue> all = new LinkedHashMap<>();
        node.fields().forEachRemaining(e -> all.put(e.getKey(), child(e.getKey(), e.getValue())));
        return all;
    }

    List<JsonValue> elements() {
        require(node.isArray(), "a JSON array");
        List<JsonValue> all = new ArrayList<>();
        for (int i = 0; i < node.size(); i++) {
            all.add(new JsonValue(path + "[" + i + "]", node.get(i)));
        }
        return all;
    }

    JsonValue field(String name) {
        JsonNode n = node.get(name);
        if (n == null) {
            throw new ConfigException(path + "." + name, "field is missing", "add the field");
        }
        return child(name, n);
    }

    int integer(String name, int defaultValue) {
        return node.has(name) ? field(name).integer() : defaultValue;
    }

    int integer() {
        require(node.isIntegralNumber() && node.canConvertToInt(), "an integer");
        return node.intValue();
    }

    long number() {
        require(node.isIntegralNumber() && node.canConvertToLong(), "an integer");
        return node.longValue();
    }

    String text() {
        require(node.isTextual(), "a string");
        return node.textValue();
    }

    boolean bool() {
        require(node.isBoolean(), "true or false");
        return node.booleanValue();
    }

    private JsonValue child(String name, JsonNode n) {
        return new JsonValue(path + "." + name, n);
    }

    private JsonValue require(boolean condition, String expected) {
        if (!condition) {
            String type = node.getNodeType().name().toLowerCase(Locale.ROOT);
            throw new ConfigException(
                    path, "expected " + expected + ", found " + type, "write " + expected);
        }
        return this;
    }
}
