package io.azurestage.node;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.networknt.schema.Error;
import com.networknt.schema.InputFormat;
import com.networknt.schema.Schema;
import com.networknt.schema.SchemaRegistry;
import com.networknt.schema.SpecificationVersion;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Loads node settings and validates them against the JSON schema. */
public final class SettingsLoader {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String SCHEMA = "settings.schema.json";

    private SettingsLoader() {}

    /**
     * Loads a settings file.
     *
     * @param file path of a JSON file
     * @return the settings
     * @throws SettingsException if the file cannot be read or does not match the schema
     */
    public static NodeSettings load(Path file) throws SettingsException {
        String text;
        try {
            text = Files.readString(file);
        } catch (IOException e) {
            throw new SettingsException(
                    file.toString(),
                    List.of("the file cannot be read; check its path and permissions"));
        }
        return parse(text, file.toString());
    }

    /**
     * Parses settings.
     *
     * @param text JSON text
     * @param source where the text came from, for error messages
     * @return the settings
     * @throws SettingsException if the text is not JSON or does not match the schema
     */
    public static NodeSettings parse(String text, String source) throws SettingsException {
        if (text.isBlank()) {
            throw new SettingsException(
                    source,
                    List.of("the file is empty; write one JSON object, see docs/settings.md"));
        }
        try {
            JsonNode tree = MAPPER.readTree(text);
            List<String> problems = problems(text);
            if (!problems.isEmpty()) {
                throw new SettingsException(source, problems);
            }
            return MAPPER.treeToValue(tree, NodeSettings.class);
        } catch (JsonProcessingException e) {
            throw new SettingsException(
                    source,
                    List.of(
                            "invalid JSON at line "
                                    + e.getLocation().getLineNr()
                                    + ", column "
                                    + e.getLocation().getColumnNr()
                                    + "; correct the syntax there"));
        }
    }

    private static List<String> problems(String text) {
        Schema schema =
                SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12)
                        .getSchema(schemaText(), InputFormat.JSON);
        return schema.validate(text, InputFormat.JSON).stream()
                .map(SettingsLoader::describe)
                .toList();
    }

    private static String describe(Error e) {
        String path = e.getInstanceLocation().toString();
        String field = path.isEmpty() ? "top level" : path;
        return field + ": " + e.getMessage() + " (see docs/settings.md)";
    }

    private static String schemaText() {
        try (InputStream in = SettingsLoader.class.getResourceAsStream(SCHEMA)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new IllegalStateException("cannot read the settings schema from the jar", e);
        }
    }
}
