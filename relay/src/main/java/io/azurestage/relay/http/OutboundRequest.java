package io.azurestage.relay.http;

import java.time.Duration;
import java.util.List;
import java.util.function.BiPredicate;

/**
 * A request to a server.
 *
 * @param method method
 * @param target path and query
 * @param host value of the Host header
 * @param fields end-to-end header fields
 * @param body whole body
 * @param timeout longest wait for the whole answer
 * @param freshOnly whether a connection that has been idle for long must not be used, because the
 *     server may just be closing it and the request may not be sent twice
 * @param belongs whether an answer with this status and these fields belongs to this request; other
 *     answers are skipped
 */
public record OutboundRequest(
        String method,
        String target,
        String host,
        List<Field> fields,
        byte[] body,
        Duration timeout,
        boolean freshOnly,
        BiPredicate<Integer, List<Field>> belongs) {}
