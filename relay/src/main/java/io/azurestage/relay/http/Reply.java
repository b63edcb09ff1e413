package io.azurestage.relay.http;

import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * An answer to a caller.
 *
 * @param status HTTP status
 * @param fields end-to-end header fields
 * @param body whole body
 */
public record Reply(int status, List<Field> fields, byte[] body) {

    /**
     * Creates an answer with a short text.
     *
     * @param status HTTP status
     * @param text body
     * @param fields further header fields
     * @return the answer
     */
    public static Reply text(int status, String text, Field... fields) {
        return new Reply(status, List.of(fields), text.getBytes(StandardCharsets.UTF_8));
    }
}
