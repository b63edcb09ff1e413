package io.azurestage.node;

import io.azurestage.core.event.EventLog;
import io.azurestage.core.event.EventType;
import io.azurestage.core.routing.EjectionListener;
import io.azurestage.core.routing.Endpoint;
import java.time.Duration;
import java.util.Map;

/** Records which backend servers are taken out of routing. */
final class EjectionEventRecorder implements EjectionListener {
    private final EventLog mEvents;

    EjectionEventRecorder(EventLog events) {
        mEvents = events;
    }

    @Override
    public void onEjected(Endpoint e, Duration howLong, String reason) {
        mEvents.record(
                EventType.SERVER_EJECTED,
                Map.of(
                        "server",
                        e.node().nodeId(),
                        "millis",
                        String.valueOf(howLong.toMillis()),
                        "reason",
                        reason));
    }

    @Override
    public void onRestored(Endpoint e) {
        mEvents.record(EventType.SERVER_RESTORED, Map.of("server", e.node().nodeId()));
    }
}
