package io.azurestage.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.azurestage.config.AcceptedConfig;
import io.azurestage.config.ConfigProblem;
import java.util.Collection;
import java.util.List;

/** Builds and prints the JSON output of the tool. */
final class Json {
    static final ObjectMapper MAPPER = new ObjectMapper();

    private Json() {}

    static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    static ArrayNode strings(Collection<String> texts) {
        ArrayNode all = MAPPER.createArrayNode();
        texts.forEach(all::add);
        return all;
    }

    static ArrayNode problems(List<ConfigProblem> problems) {
        ArrayNode all = MAPPER.createArrayNode();
        for (ConfigProblem p : problems) {
            all.addObject()
                    .put("path", p.path())
                    .put("message", p.message())
                    .put("remedy", p.remedy());
        }
        return all;
    }

    static JsonNode tree(AcceptedConfig record) {
        try {
            return MAPPER.readTree(record.toJson());
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("accepted configuration is not valid JSON", e);
        }
    }

    static void print(CliContext context, JsonNode node) {
        context.out().println(node.toPrettyString());
    }
}
