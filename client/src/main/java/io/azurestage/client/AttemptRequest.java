package io.azurestage.client;

import java.util.Map;

/** One HTTP request to an entry node; the sink is null if the caller gave none. */
record AttemptRequest(
        String method, String path, Map<String, String> headers, byte[] body, BodySink sink) {}
