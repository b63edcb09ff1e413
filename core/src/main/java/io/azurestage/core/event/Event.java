package io.azurestage.core.event;

import io.azurestage.core.time.HlcTime;
import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/**
 * An event recorded by a node.
 *
 * @param time hybrid logical time at which it was recorded
 * @param nodeId id of the node that recorded it
 * @param type type of the event
 * @param requestId hexadecimal request id, empty if the event does not concern a request
 * @param partner name of the partner, empty if the event does not concern one
 * @param fields further details, sorted by name
 */
public record Event(
        HlcTime time,
        String nodeId,
        EventType type,
        String requestId,
        String partner,
        Map<String, String> fields) {

    /** Longest value of a field; values may quote what another process has sent. */
    static final int MAX_VALUE_LENGTH = 1_024;

    /** Copies the fields, so that the event is immutable, and shortens long values. */
    public Event {
        Map<String, String> copy = new TreeMap<>(fields);
        copy.replaceAll((name, value) -> shorten(value));
        fields = Collections.unmodifiableMap(copy);
    }

    private static String shorten(String value) {
        return value.length() <= MAX_VALUE_LENGTH
                ? value
                : value.substring(0, MAX_VALUE_LENGTH) + "... of " + value.length();
    }
}
