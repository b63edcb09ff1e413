package io.azurestage.client;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;

/** Parses refusals in the format of RFC 9457, and ticket responses. */
final class RefusalParser {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String TYPE_PREFIX = "urn:azurestage:refusal:";

    private RefusalParser() {}

    static Optional<CallResult.Refused> parse(AttemptResult.Complete result) {
        if (!result.header("content-type").startsWith("application/problem+json")) {
            return Optional.empty();
        }
        try {
            JsonNode problem = JSON.readTree(result.body());
            String type = problem.path("type").asText();
            if (!type.startsWith(TYPE_PREFIX)) {
                return Optional.empty();
            }
            boolean notRun = problem.path("ran").asText().equals("not-run");
            long retryAfterMs = Math.max(0, problem.path("retryAfterMs").asLong());
            return Optional.of(
                    new CallResult.Refused(
                            type.substring(TYPE_PREFIX.length()),
                            notRun ? Ran.NOT_RUN : Ran.UNKNOWN,
                            Duration.ofMillis(retryAfterMs),
                            problem.path("remedy").asText(),
                            problem.path("requestId").asText()));
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    /** Parses the ticket of a ticket response; empty if the response has none. */
    static Optional<String> parseTicket(AttemptResult.Complete result) {
        if (result.status() / 100 != 2) {
            return Optional.empty();
        }
        try {
            String ticket = JSON.readTree(result.body()).path("ticket").asText();
            return ticket.isEmpty() ? Optional.empty() : Optional.of(ticket);
        } catch (IOException e) {
            return Optional.empty();
        }
    }
}
