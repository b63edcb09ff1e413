package io.azurestage.node;

import io.azurestage.core.event.EventLog;
import io.azurestage.core.event.EventType;
import io.azurestage.core.routing.EjectionListener;
import io.azurestage.core.routing.Endpoint;
import java.time.Duration;
import java.util.Map;

/** Records ejections of backend servers from routing, and their return, as events. */
final class EjectionEventRecorder implements EjectionListener {
    private final EventLog mEvents;

    EjectionEventRecorder(EventLog events) {
        mEvents = events;
    }

    @Override
    public void onEjected(Endpoint endpoint, Duration duration, String reason) {
        mEvents.record(
                EventType.SERVER_EJECTED,
                Map.of(
                        "server",
                        endpoint.node().nodeId(),
                        "millis",
                        String.valueOf(duration.toMillis()),
                        "reason",
                        reason));
    }

    @Override
    public void onRestored(Endpoint endpoint) {
        mEvents.record(EventType.SERVER_RESTORED, Map.of("server", endpoint.node().nodeId()));
    }
}
