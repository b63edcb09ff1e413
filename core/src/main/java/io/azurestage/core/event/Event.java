package io.azurestage.core.event;

import io.azurestage.core.time.HlcTime;
import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/**
 * One event of one node.
 *
 * @param time hybrid logical time
 * @param nodeId node that recorded it
 * @param type numbered type
 * @param requestId hexadecimal request id, empty if the event belongs to no request
 * @param partner partner, empty if the event belongs to none
 * @param fields further details, sorted by name
 */
public record Event(
        HlcTime time,
        String nodeId,
        EventType type,
        String requestId,
        String partner,
        Map<String, String> fields) {

    /** Copies the fields, so that the record is immutable. */
    public Event {
        fields = Collections.unmodifiableMap(new TreeMap<>(fields));
    }
}
