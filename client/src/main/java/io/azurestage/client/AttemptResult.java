package io.azurestage.client;

import java.util.List;
import java.util.Map;

/** What one attempt got back. */
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
     * No complete response. A body that has partly reached the caller's sink cannot be asked for
     * again, because the sink cannot be rewound.
     */
    record Lost(String reason, boolean repeatable) implements AttemptResult {}
}
