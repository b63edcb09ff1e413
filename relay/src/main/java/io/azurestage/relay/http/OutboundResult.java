package io.azurestage.relay.http;

import java.util.List;

/** How a request to a server ended. */
public sealed interface OutboundResult {

    /**
     * A whole answer came.
     *
     * @param status HTTP status
     * @param fields end-to-end header fields
     * @param body whole body
     */
    record Answered(int status, List<Field> fields, byte[] body) implements OutboundResult {}

    /**
     * Nothing of the request was sent.
     *
     * @param reason what happened
     */
    record NotSent(String reason) implements OutboundResult {}

    /**
     * The request may have reached the server, and no whole answer came.
     *
     * @param reason what happened
     * @param timedOut whether the time was up
     */
    record Lost(String reason, boolean timedOut) implements OutboundResult {}
}
