package io.azurestage.cli;

import com.fasterxml.jackson.databind.JsonNode;
import io.azurestage.core.time.HlcTime;
import java.time.Instant;
import java.util.Comparator;

/** An event of a node, ordered by hybrid logical clock, then by node id. */
record TimelineEvent(HlcTime time, String nodeId, JsonNode json)
        implements Comparable<TimelineEvent> {
    private static final Comparator<TimelineEvent> ORDER =
            Comparator.comparing(TimelineEvent::time).thenComparing(TimelineEvent::nodeId);

    static TimelineEvent of(JsonNode e) {
        return new TimelineEvent(
                new HlcTime(e.path("millis").asLong(), e.path("counter").asInt()),
                e.path("nodeId").asText(),
                e);
    }

    @Override
    public int compareTo(TimelineEvent o) {
        return ORDER.compare(this, o);
    }

    String line() {
        StringBuilder s = new StringBuilder();
        s.append(Instant.ofEpochMilli(time.millis())).append('+').append(time.counter());
        s.append("  ").append(nodeId);
        s.append("  ").append(json.path("number").asInt());
        s.append(' ').append(json.path("name").asText());
        appendField(s, "request", json.path("requestId"));
        appendField(s, "partner", json.path("partner"));
        json.path("fields")
                .fields()
                .forEachRemaining(f -> appendField(s, f.getKey(), f.getValue()));
        return s.toString();
    }

    private static void appendField(StringBuilder s, String name, JsonNode value) {
        if (!value.asText().isEmpty()) {
            s.append("  ").append(name).append('=').append(value.asText());
        }
    }
}
