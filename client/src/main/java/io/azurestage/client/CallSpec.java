package io.azurestage.client;

import java.time.Duration;
import java.util.Map;

/** Parameters of one call; the ticket is empty and the sink null if the caller gave none. */
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
