package io.azurestage.relay.http;

/** Handles the requests of a listener. Called on the event loop. */
@FunctionalInterface
public interface RequestHandler {

    /**
     * Handles a request.
     *
     * @param request the request
     * @param exchange sends the response, during this call or later on the event loop
     */
    void handle(InboundRequest request, Exchange exchange);
}
