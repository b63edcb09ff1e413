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
 * One line that a node wrote about an event.
 *
 * @param millis wall-clock time in Unix milliseconds
 * @param node id of the node
 * @param number number of the event
 * @param name name of the event
 * @param requestId id of the request, empty if it concerns none
 * @param fields what the event says besides
 */
record LogLine(
        long millis,
        String node,
        int number,
        String name,
        String requestId,
        Map<String, String> fields) {
    /** A line may follow a prefix, such as a time and a machine's name. */
    private static final String START = "{\"timestamp\"";

    private static final Pattern EVENT =
            Pattern.compile("E(\\d+) (\\S+) node=(\\S*) id=(\\S*) \\{(.*)\\}", Pattern.DOTALL);
    private static final Pattern LEFT_OUT =
            Pattern.compile("E(\\d+) (\\S+) left out (\\d+) lines.*", Pattern.DOTALL);

    /** Values may hold a comma, but not followed by a name and an equals sign. */
    private static final Pattern NEXT_FIELD = Pattern.compile(", (?=\\w+=)");

    /** Field of a line that counts the lines that were not written. */
    static final String LEFT_OUT_COUNT = "leftOut";

    /**
     * Reads a line.
     *
     * @param text line of a log
     * @return the event, empty if the line holds none
     */
    static Optional<LogLine> parse(String text) {
        int start = text.indexOf(START);
        if (start < 0) {
            return Optional.empty();
        }
        JsonNode json;
        try {
            json = Json.MAPPER.readTree(text.substring(start));
        } catch (JsonProcessingException e) {
            // A line that was cut off says nothing; its neighbours are still of use.
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
        for (String f : NEXT_FIELD.split(text)) {
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

    /** Reports whether the event ended a request or one of its attempts without success. */
    boolean isFailure() {
        return is(EventType.REQUEST_REFUSED)
                || is(EventType.REQUEST_CANCELLED)
                || is(EventType.ATTEMPT_FAILED);
    }

    /** Returns the lines that a node left out, 0 if this is a line about an event. */
    long leftOut() {
        return Long.parseLong(fields.getOrDefault(LEFT_OUT_COUNT, "0"));
    }
}
