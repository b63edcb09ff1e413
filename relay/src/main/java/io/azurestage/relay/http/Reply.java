package io.azurestage.relay.http;

import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * A response to a client.
 *
 * @param status HTTP status code
 * @param fields end-to-end header fields
 * @param body complete body
 */
public record Reply(int status, List<Field> fields, Body body) {

    /**
     * Creates a response with a short body.
     *
     * @param status HTTP status code
     * @param fields end-to-end header fields
     * @param body complete body, which must not be changed any more
     */
    public Reply(int status, List<Field> fields, byte[] body) {
        this(status, fields, Body.of(body));
    }

    /**
     * Creates a response with a text body.
     *
     * @param status HTTP status code
     * @param text body, sent as UTF-8
     * @param fields header fields
     * @return the response
     */
    public static Reply text(int status, String text, Field... fields) {
        return new Reply(status, List.of(fields), text.getBytes(StandardCharsets.UTF_8));
    }
}
