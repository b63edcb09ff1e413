package io.azurestage.node;

import io.azurestage.core.event.Event;
import io.azurestage.core.event.EventLog;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.eclipse.jetty.util.Fields;

/** Builds the events response of the admin endpoint as maps for JSON serialization. */
final class EventReport {
    private final String mNodeId;
    private final EventLog mEvents;

    EventReport(String nodeId, EventLog events) {
        mNodeId = nodeId;
        mEvents = events;
    }

    Map<String, Object> events(Fields query) {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("nodeId", mNodeId);
        m.put("dropped", mEvents.dropped());
        m.put("events", mEvents.find(filter(query)).stream().map(EventReport::event).toList());
        return m;
    }

    private static Predicate<Event> filter(Fields query) {
        List<Predicate<Event>> all =
                List.of(
                        e -> matches(query.getValue("requestId"), e.requestId()),
                        e -> matches(query.getValue("partner"), e.partner()),
                        e -> matches(query.getValue("number"), "" + e.type().number()));
        return e -> all.stream().allMatch(p -> p.test(e));
    }

    private static boolean matches(String wanted, String value) {
        return wanted == null || wanted.isEmpty() || wanted.equals(value);
    }

    private static Map<String, Object> event(Event e) {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("millis", e.time().millis());
        m.put("counter", e.time().counter());
        m.put("nodeId", e.nodeId());
        m.put("number", e.type().number());
        m.put("name", e.type().name());
        m.put("requestId", e.requestId());
        m.put("partner", e.partner());
        m.put("fields", e.fields());
        return m;
    }
}
