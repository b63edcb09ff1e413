package io.azurestage.node;

import io.azurestage.core.event.EventLog;
import io.azurestage.core.event.EventType;
import io.azurestage.core.membership.Member;
import io.azurestage.core.membership.MembershipListener;
import java.time.Duration;
import java.util.Map;

/** Records membership changes as events. */
final class MembershipEventRecorder implements MembershipListener {
    private final EventLog mEvents;

    MembershipEventRecorder(EventLog events) {
        mEvents = events;
    }

    @Override
    public void onChange(Member before, Member after) {
        mEvents.record(
                type(after),
                Map.of(
                        "member",
                        after.nodeId(),
                        "incarnation",
                        String.valueOf(after.node().incarnation()),
                        "service",
                        after.service(),
                        "state",
                        after.state().name(),
                        "liveness",
                        after.liveness().name()));
    }

    private static EventType type(Member m) {
        if (m.state() == Member.State.LEFT) {
            return EventType.MEMBER_LEFT;
        }
        return switch (m.liveness()) {
            case ALIVE -> EventType.MEMBER_JOINED;
            case SUSPECT -> EventType.MEMBER_SUSPECT;
            case DEAD -> EventType.MEMBER_DEAD;
        };
    }

    @Override
    public void onRefuted(Member self) {
        mEvents.record(
                EventType.MEMBER_REFUTED, Map.of("revision", String.valueOf(self.revision())));
    }

    @Override
    public void onIsolation(boolean isolated) {
        mEvents.record(EventType.NODE_ISOLATED, Map.of("isolated", String.valueOf(isolated)));
    }

    @Override
    public void onPaused(Duration pause) {
        mEvents.record(EventType.NODE_PAUSED, Map.of("millis", String.valueOf(pause.toMillis())));
    }

    @Override
    public void onSuperseded(long incarnation) {
        mEvents.record(
                EventType.NODE_SUPERSEDED, Map.of("incarnation", String.valueOf(incarnation)));
    }
}
