package io.azurestage.node;

import io.azurestage.core.event.EventLog;
import io.azurestage.core.event.EventType;
import io.azurestage.core.spread.ConfigListener;
import io.azurestage.core.spread.ConfigRecord;
import io.azurestage.core.spread.VersionId;
import java.util.Map;

/** Records adopted and conflicting configuration versions as events. */
final class ConfigEventRecorder implements ConfigListener {
    private final EventLog mEvents;

    ConfigEventRecorder(EventLog events) {
        mEvents = events;
    }

    @Override
    public void onAdopted(ConfigRecord r) {
        mEvents.record(
                EventType.CONFIG_ADOPTED,
                Map.of(
                        "number",
                        String.valueOf(r.number()),
                        "changeId",
                        r.changeId(),
                        "author",
                        r.author()));
    }

    @Override
    public void onConflict(VersionId winner, VersionId loser) {
        mEvents.record(
                EventType.CONFIG_CONFLICT,
                Map.of("winner", winner.toString(), "loser", loser.toString()));
    }
}
