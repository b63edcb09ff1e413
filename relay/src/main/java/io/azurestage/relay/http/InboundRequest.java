package io.azurestage.relay.http;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * A whole request that a listener has received.
 *
 * @param method method
 * @param target path and query as sent
 * @param host value of the Host header, empty if there is none
 * @param fields end-to-end header fields
 * @param body the body
 * @param remote address of the caller
 */
public record InboundRequest(
        String method,
        String target,
        String host,
        List<Field> fields,
        byte[] body,
        InetSocketAddress remote) {}
