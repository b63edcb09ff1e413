package io.azurestage.config;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.DateTimeException;
import java.time.Instant;
import java.time.temporal.ChronoUnit;

/**
 * A version of the configuration as stored in the key-value service.
 *
 * @param number version number, 1 or more
 * @param changeId random id of the change
 * @param author who made the change, 1 to {@value #MAX_AUTHOR} characters
 * @param acceptedAt when the change was pushed, to the millisecond
 * @param config the configuration
 */
public record AcceptedConfig(
        long number, String changeId, String author, Instant acceptedAt, MeshConfig config) {
    /** Maximum length of an author, in characters. */
    public static final int MAX_AUTHOR = 200;

    /** Validates the components and truncates the time to milliseconds. */
    public AcceptedConfig {
        if (number < 1) {
            throw new ConfigException(
                    "$.number", "number " + number + " is under 1", "use 1 or more");
        }
        if (changeId.isBlank()) {
            throw new ConfigException("$.changeId", "the change id is empty", "use a random id");
        }
        if (author.isBlank() || author.length() > MAX_AUTHOR) {
            throw new ConfigException(
                    "$.author",
                    "the author is empty or over " + MAX_AUTHOR + " characters",
                    "name the author");
        }
        acceptedAt = acceptedAt.truncatedTo(ChronoUnit.MILLIS);
    }

    /**
     * Formats the record as one line of JSON, with the configuration as the object {@code
     * document}.
     *
     * @return the JSON text
     */
    public String toJson() {
        ObjectNode n = JsonNodeFactory.instance.objectNode();
        n.put("number", number).put("changeId", changeId).put("author", author);
        n.put("acceptedAt", acceptedAt.toString());
        n.set("document", ConfigJson.toTree(config));
        return n.toString();
    }

    /**
     * Parses a record.
     *
     * @param json JSON text as returned by {@link #toJson()}
     * @return the record
     * @throws ConfigException if the text is not a record; the message names the JSON path
     */
    public static AcceptedConfig parse(String json) {
        JsonValue v =
                ConfigJson.read(json)
                        .object("number", "changeId", "author", "acceptedAt", "document");
        return new AcceptedConfig(
                v.field("number").number(),
                v.field("changeId").text(),
                v.field("author").text(),
                instant(v.field("acceptedAt")),
                ConfigJson.config(v.field("document")));
    }

    private static Instant instant(JsonValue value) {
        try {
            return Instant.parse(value.text());
        } catch (DateTimeException e) {
            throw new ConfigException(
                    value.path(),
                    "expected a time in ISO 8601, found '" + value.text() + "'",
                    "write it as 2026-01-31T12:00:00Z");
        }
    }
}
