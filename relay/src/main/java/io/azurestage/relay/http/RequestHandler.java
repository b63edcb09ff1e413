package io.azurestage.relay.http;

/** Answers the requests of a listener, on the event loop. */
@FunctionalInterface
public interface RequestHandler {

    /**
     * Handles a request.
     *
     * @param request the request
     * @param exchange answers it, now or later
     */
    void handle(InboundRequest request, Exchange exchange);
}
