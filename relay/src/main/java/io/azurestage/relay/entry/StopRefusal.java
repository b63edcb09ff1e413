package io.azurestage.relay.entry;

import io.azurestage.core.event.EventLog;
import io.azurestage.core.event.EventType;
import io.azurestage.relay.RelayMetrics;
import io.azurestage.relay.http.Exchange;
import io.azurestage.relay.http.Fields;
import io.azurestage.relay.http.InboundRequest;
import io.azurestage.relay.owner.LocalBackend;
import java.time.Duration;
import java.util.Map;

/** Refuses requests that a stopping node does not take, as not run. */
final class StopRefusal {
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final String mIdName;
    private final RelayMetrics mMetrics;
    private final EventLog mEvents;

    /**
     * Creates a refusal.
     *
     * @param idName name of the header field with the request id
     * @param metrics counts refusals
     * @param events event log
     */
    StopRefusal(String idName, RelayMetrics metrics, EventLog events) {
        mIdName = idName;
        mMetrics = metrics;
        mEvents = events;
    }

    void reply(InboundRequest request, Exchange exchange) {
        mMetrics.refused(LocalBackend.STOPPING);
        mEvents.record(
                EventType.REQUEST_REFUSED,
                Fields.first(request.fields(), mIdName).orElse(""),
                "",
                Map.of(
                        "reason",
                        LocalBackend.STOPPING,
                        "retryAfterMillis",
                        Long.toString(RETRY_AFTER.toMillis())));
        exchange.reply(Replies.retryLater("the node is stopping; not run", RETRY_AFTER));
    }
}
