package io.azurestage.relay.entry;

import io.azurestage.core.event.EventLog;
import io.azurestage.core.event.EventType;
import io.azurestage.relay.RelayMetrics;
import io.azurestage.relay.http.Exchange;
import io.azurestage.relay.http.Fields;
import io.azurestage.relay.http.InboundRequest;
import io.azurestage.relay.http.RequestHandler;
import io.azurestage.relay.owner.LocalBackend;
import java.time.Duration;
import java.util.Map;

/**
 * Passes requests on until it is closed, and refuses later ones as not run. A request that had been
 * received only in part when a stopping node closed its port is complete later, when the node may
 * end before its answer. Confined to the event loop.
 */
public final class EntryGate implements RequestHandler {
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final RequestHandler mHandler;
    private final String mIdName;
    private final RelayMetrics mMetrics;
    private final EventLog mEvents;
    private boolean mClosed;

    /**
     * Creates an open gate.
     *
     * @param handler handles the requests while the gate is open
     * @param idName name of the header field with the request id
     * @param metrics counts refusals
     * @param events event log
     */
    public EntryGate(RequestHandler handler, String idName, RelayMetrics metrics, EventLog events) {
        mHandler = handler;
        mIdName = idName;
        mMetrics = metrics;
        mEvents = events;
    }

    /** Refuses requests from now on. */
    public void close() {
        mClosed = true;
    }

    @Override
    public void handle(InboundRequest request, Exchange exchange) {
        if (!mClosed) {
            mHandler.handle(request, exchange);
            return;
        }
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
