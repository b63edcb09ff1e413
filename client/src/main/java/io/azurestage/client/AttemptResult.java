package io.azurestage.client;

import java.util.List;
import java.util.Map;

/** Outcome of one attempt. */
sealed interface AttemptResult {

    /** A complete HTTP response. */
    record Complete(int status, Map<String, List<String>> headers, byte[] body, long streamedBytes)
            implements AttemptResult {
        String header(String name) {
            List<String> values = headers.get(name);
            return values == null ? "" : values.get(0);
        }
    }

    /**
     * No complete response was received. An attempt is not repeatable once part of the body was
     * written to the caller's sink, because the sink cannot be rewound.
     */
    record Lost(String reason, boolean repeatable) implements AttemptResult {}
}
