package io.azurestage.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.azurestage.core.event.EventType;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A node's log line about an event.
 *
 * @param millis wall-clock time in Unix milliseconds
 * @param node id of the node, empty in a line that counts left-out lines
 * @param number number of the event
 * @param name name of the event
 * @param requestId id of the request, empty if the event belongs to none
 * @param fields further fields of the event
 */
record LogLine(
        long millis,
        String node,
        int number,
        String name,
        String requestId,
        Map<String, String> fields) {
    /**
     * Start of the JSON object. Log collectors may prefix it, for example with a time and a host.
     */
    private static final String JSON_START = "{\"timestamp\"";

    private static final Pattern EVENT =
            Pattern.compile("E(\\d+) (\\S+) node=(\\S*) id=(\\S*) \\{(.*)\\}", Pattern.DOTALL);
    private static final Pattern LEFT_OUT =
            Pattern.compile("E(\\d+) (\\S+) left out (\\d+) lines.*", Pattern.DOTALL);

    /**
     * Separator of fields. A comma within a value is never followed by a name and an equals sign.
     */
    private static final Pattern FIELD_SEPARATOR = Pattern.compile(", (?=\\w+=)");

    /**
     * Field that holds the number of lines that a node left out at its limit of lines per second.
     */
    static final String LEFT_OUT_COUNT = "leftOut";

    /**
     * Parses a line.
     *
     * @param text line of a log file
     * @return the log line, empty if it describes no event or is not valid JSON
     */
    static Optional<LogLine> parse(String text) {
        int start = text.indexOf(JSON_START);
        if (start < 0) {
            return Optional.empty();
        }
        JsonNode json;
        try {
            json = Json.MAPPER.readTree(text.substring(start));
        } catch (JsonProcessingException e) {
            // A truncated line is skipped so that the rest of the file can still be used.
            return Optional.empty();
        }
        long millis = json.path("timestamp").asLong();
        String message = json.path("formattedMessage").asText();
        Matcher m = EVENT.matcher(message);
        if (m.matches()) {
            int number = Integer.parseInt(m.group(1));
            return Optional.of(
                    new LogLine(
                            millis,
                            m.group(3),
                            number,
                            m.group(2),
                            m.group(4),
                            fields(m.group(5))));
        }
        Matcher left = LEFT_OUT.matcher(message);
        if (left.matches()) {
            int number = Integer.parseInt(left.group(1));
            Map<String, String> count = Map.of(LEFT_OUT_COUNT, left.group(3));
            return Optional.of(new LogLine(millis, "", number, left.group(2), "", count));
        }
        return Optional.empty();
    }

    private static Map<String, String> fields(String text) {
        Map<String, String> fields = new TreeMap<>();
        for (String f : FIELD_SEPARATOR.split(text)) {
            int at = f.indexOf('=');
            if (at > 0) {
                fields.put(f.substring(0, at), f.substring(at + 1));
            }
        }
        return Map.copyOf(fields);
    }

    String field(String name) {
        return fields.getOrDefault(name, "");
    }

    boolean is(EventType type) {
        return number == type.number();
    }

    /** Reports whether the event is the failure or cancellation of a request or attempt. */
    boolean isFailure() {
        return is(EventType.REQUEST_REFUSED)
                || is(EventType.KEY_REFUSED)
                || is(EventType.QUOTA_EXCEEDED)
                || is(EventType.REQUEST_CANCELLED)
                || is(EventType.ATTEMPT_FAILED);
    }

    /** Returns the number of lines that the node left out, 0 if this line describes an event. */
    long leftOut() {
        return Long.parseLong(fields.getOrDefault(LEFT_OUT_COUNT, "0"));
    }
}
