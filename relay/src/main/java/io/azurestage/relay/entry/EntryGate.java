package io.azurestage.relay.entry;

import io.azurestage.core.event.EventLog;
import io.azurestage.relay.RelayMetrics;
import io.azurestage.relay.http.Exchange;
import io.azurestage.relay.http.InboundRequest;
import io.azurestage.relay.http.RequestHandler;

/**
 * Passes requests on until it is closed, and refuses later ones as not run. A request that had been
 * received only in part when a stopping node closed its port is complete later, when the node may
 * end before its answer. Confined to the event loop.
 */
public final class EntryGate implements RequestHandler {
    private final RequestHandler mHandler;
    private final StopRefusal mRefusal;
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
        mRefusal = new StopRefusal(idName, metrics, events);
    }

    /** Refuses requests from now on. */
    public void close() {
        mClosed = true;
    }

    @Override
    public void handle(InboundRequest request, Exchange exchange) {
        if (mClosed) {
            mRefusal.reply(request, exchange);
        } else {
            mHandler.handle(request, exchange);
        }
    }
}
