package io.azurestage.config;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.core.util.DefaultIndenter;
import com.fasterxml.jackson.core.util.DefaultPrettyPrinter;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectWriter;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Locale;
import java.util.SortedMap;
import java.util.TreeMap;

/** Converts configurations to and from canonical JSON. */
final class ConfigJson {
    private static final JsonMapper MAPPER =
            JsonMapper.builder()
                    .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .build();

    // A fixed line separator makes the output independent of the platform.
    private static final ObjectWriter WRITER =
            MAPPER.writer(
                    new DefaultPrettyPrinter().withObjectIndenter(new DefaultIndenter("  ", "\n")));

    private ConfigJson() {}

    static String format(MeshConfig c) {
        return format(toTree(c));
    }

    static String format(JsonNode tree) {
        try {
            return WRITER.writeValueAsString(tree) + "\n";
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("configuration does not print as JSON", e);
        }
    }

    static MeshConfig parse(String json) {
        return config(read(json));
    }

    static JsonValue read(String json) {
        try {
            return new JsonValue("$", MAPPER.readTree(json));
        } catch (JsonProcessingException e) {
            JsonLocation at = e.getLocation();
            String place =
                    at == null ? "" : " at line " + at.getLineNr() + ", column " + at.getColumnNr();
            throw new ConfigException(
                    "$",
                    "expected JSON, found" + place + ": " + e.getOriginalMessage(),
                    "correct the text there");
        }
    }

    static MeshConfig config(JsonValue value) {
        JsonValue root = value.object("partners", "services", "retryAllowance");
        SortedMap<String, Partner> partners = new TreeMap<>();
        root.field("partners").entries().forEach((n, v) -> partners.put(n, partner(n, v)));
        SortedMap<String, ServiceSpec> services = new TreeMap<>();
        root.field("services").entries().forEach((n, v) -> services.put(n, service(n, v)));
        int retries = root.integer("retryAllowance", ConfigBuilder.DEFAULT_RETRY_ALLOWANCE);
        return new MeshConfig(partners, services, retries);
    }

    private static Partner partner(String name, JsonValue value) {
        JsonValue v = value.object("share", "floor", "priority", "credentialSha256");
        return new Partner(
                name,
                v.field("share").integer(),
                v.integer("floor", PartnerBuilder.DEFAULT_FLOOR),
                v.integer("priority", 0),
                v.field("credentialSha256").text());
    }

    private static ServiceSpec service(String name, JsonValue value) {
        List<JsonValue> all = value.object("operations").field("operations").elements();
        return new ServiceSpec(name, all.stream().map(ConfigJson::operation).toList());
    }

    private static Operation operation(JsonValue value) {
        JsonValue v = value.object("method", "pathPrefix", "workClass", "idempotent");
        return new Operation(
                v.field("method").text(),
                v.field("pathPrefix").text(),
                workClass(v.field("workClass")),
                v.field("idempotent").bool());
    }

    private static WorkClass workClass(JsonValue value) {
        for (WorkClass c : WorkClass.values()) {
            if (jsonName(c).equals(value.text())) {
                return c;
            }
        }
        throw new ConfigException(
                value.path(),
                "expected a class of work, found '" + value.text() + "'",
                "use critical, normal or browsing");
    }

    static String jsonName(WorkClass c) {
        return c.name().toLowerCase(Locale.ROOT);
    }

    static ObjectNode toTree(MeshConfig c) {
        ObjectNode root = MAPPER.createObjectNode();
        ObjectNode partners = root.putObject("partners");
        c.partners()
                .forEach(
                        (name, p) ->
                                partners.putObject(name)
                                        .put("share", p.share())
                                        .put("floor", p.floor())
                                        .put("priority", p.priority())
                                        .put("credentialSha256", p.credentialSha256()));
        ObjectNode services = root.putObject("services");
        c.services().forEach((name, s) -> service(services.putObject(name), s));
        return root.put("retryAllowance", c.retryAllowance());
    }

    private static void service(ObjectNode node, ServiceSpec s) {
        ArrayNode operations = node.putArray("operations");
        for (Operation o : s.operations()) {
            operations
                    .addObject()
                    .put("method", o.method())
                    .put("pathPrefix", o.pathPrefix())
                    .put("workClass", jsonName(o.workClass()))
                    .put("idempotent", o.idempotent());
        }
    }
}
