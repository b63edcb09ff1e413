package io.azurestage.relay.http;

import java.time.Duration;
import java.util.List;

/**
 * A request to a server.
 *
 * @param method HTTP method
 * @param target path and query
 * @param host value of the Host header
 * @param fields end-to-end header fields
 * @param body complete body, empty if there is none
 * @param timeout timeout for the complete response, including the connection setup
 * @param freshOnly whether to avoid connections that have been idle for long, which the server may
 *     be closing; set for requests that must not be sent twice
 * @param responseFilter decides whether a response belongs to this request
 */
public record OutboundRequest(
        String method,
        String target,
        String host,
        List<Field> fields,
        Body body,
        Duration timeout,
        boolean freshOnly,
        ResponseFilter responseFilter) {

    /**
     * Creates a request with a short body.
     *
     * @param method HTTP method
     * @param target path and query
     * @param host value of the Host field
     * @param fields end-to-end header fields
     * @param body complete body, which must not be changed any more
     * @param timeout time until the request ends without a response
     * @param freshOnly whether to use only connections that the server cannot be about to close
     * @param responseFilter tells which responses belong to the request
     */
    public OutboundRequest(
            String method,
            String target,
            String host,
            List<Field> fields,
            byte[] body,
            Duration timeout,
            boolean freshOnly,
            ResponseFilter responseFilter) {
        this(method, target, host, fields, Body.of(body), timeout, freshOnly, responseFilter);
    }
}
