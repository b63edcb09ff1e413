package io.azurestage.relay.entry;

import io.azurestage.relay.http.Exchange;
import io.azurestage.relay.http.InboundRequest;
import io.azurestage.relay.http.RequestHandler;

/**
 * Passes requests on until it is closed, and has later ones refused. A request that had been
 * received only in part when a stopping node closed its port is complete later, when the node may
 * end before its answer. Confined to the event loop.
 */
public final class EntryGate implements RequestHandler {
    private final RequestHandler mOpen;
    private final RequestHandler mClosed;
    private boolean mIsClosed;

    /**
     * Creates an open gate.
     *
     * @param open handles the requests while the gate is open
     * @param closed refuses later ones
     */
    public EntryGate(RequestHandler open, RequestHandler closed) {
        mOpen = open;
        mClosed = closed;
    }

    /** Refuses requests from now on. */
    public void close() {
        mIsClosed = true;
    }

    @Override
    public void handle(InboundRequest request, Exchange exchange) {
        (mIsClosed ? mClosed : mOpen).handle(request, exchange);
    }
}
