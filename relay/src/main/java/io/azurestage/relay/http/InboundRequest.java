package io.azurestage.relay.http;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * A complete request that a listener has received.
 *
 * @param method HTTP method
 * @param target path and query as received
 * @param host value of the Host header, empty if there is none
 * @param fields end-to-end header fields
 * @param body complete body, empty if there is none
 * @param remote address of the client
 */
public record InboundRequest(
        String method,
        String target,
        String host,
        List<Field> fields,
        Body body,
        InetSocketAddress remote) {}
