package io.azurestage.relay.http;

import java.util.List;

/** Result of a request to a server. */
public sealed interface OutboundResult {

    /**
     * A complete response was received.
     *
     * @param status HTTP status code
     * @param fields end-to-end header fields
     * @param body complete body
     */
    record Answered(int status, List<Field> fields, Body body) implements OutboundResult {}

    /**
     * No part of the request was sent.
     *
     * @param reason cause of the failure
     */
    record NotSent(String reason) implements OutboundResult {}

    /**
     * The request may have reached the server, and no complete response was received.
     *
     * @param reason cause of the failure
     * @param timedOut whether the request's timeout has expired
     */
    record Lost(String reason, boolean timedOut) implements OutboundResult {}
}
