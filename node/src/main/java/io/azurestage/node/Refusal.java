package io.azurestage.node;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Refusal of a request, sent to the caller as RFC 9457 problem details.
 *
 * @param kind kind of refusal
 * @param ran whether the request ran
 * @param retryAfter time to wait before a retry, zero if a retry does not help
 * @param detail explanation for the caller
 */
record Refusal(RefusalKind kind, Ran ran, Duration retryAfter, String detail) {
    static final String CONTENT_TYPE = "application/problem+json";
    static final String TYPE_PREFIX = "urn:azurestage:refusal:";

    private static final ObjectMapper MAPPER = new ObjectMapper();

    static Refusal notRun(RefusalKind kind, String detail) {
        return new Refusal(kind, Ran.NOT_RUN, Duration.ZERO, detail);
    }

    static Refusal notRun(RefusalKind kind, Duration retryAfter, String detail) {
        return new Refusal(kind, Ran.NOT_RUN, retryAfter, detail);
    }

    static Refusal unknown(RefusalKind kind, String detail) {
        return new Refusal(kind, Ran.UNKNOWN, Duration.ZERO, detail);
    }

    /** Refusal for a ticket whose node, the only one that knows whether it ran, is not alive. */
    static Refusal ticketOwnerUnavailable() {
        return unknown(RefusalKind.TICKET_UNKNOWN, "the node that the ticket names is not alive");
    }

    /** Returns a copy of this refusal that does not state that the request did not run. */
    Refusal withUnknownExecution() {
        return new Refusal(kind, Ran.UNKNOWN, retryAfter, detail);
    }

    byte[] json(String requestId) {
        return json(kind.status(), requestId);
    }

    byte[] json(int status, String requestId) {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("type", TYPE_PREFIX + kind.text());
        m.put("title", kind.text().replace('-', ' '));
        m.put("status", status);
        m.put("detail", detail);
        m.put("kind", kind.text());
        m.put("ran", ran.text());
        m.put("retryAfterMs", retryAfter.toMillis());
        m.put("remedy", kind.remedy());
        m.put("requestId", requestId);
        try {
            return MAPPER.writeValueAsBytes(m);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot serialize the refusal as JSON", e);
        }
    }
}
