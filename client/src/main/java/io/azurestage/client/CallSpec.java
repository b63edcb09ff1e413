package io.azurestage.client;

import java.time.Duration;
import java.util.Map;

/** Everything a caller has said about one call; an empty ticket means none was given. */
record CallSpec(
        String service,
        String method,
        String path,
        Map<String, String> headers,
        byte[] body,
        Duration deadline,
        boolean needsTicket,
        String ticket,
        BodySink sink) {}
