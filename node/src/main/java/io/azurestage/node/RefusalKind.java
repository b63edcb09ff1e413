package io.azurestage.node;

import io.azurestage.core.retry.AttemptOutcome;
import java.time.Duration;
import java.util.Locale;

/** Kinds of refusals, with their HTTP status and advice for the caller. */
enum RefusalKind {
    OVERLOADED(503, "come back after retryAfterMs"),
    SHARE_EXHAUSTED(503, "come back after retryAfterMs, or renegotiate the partner's share"),
    DEADLINE_EXCEEDED(504, "allow a longer deadline, or come back when the service is faster"),
    DRAINING(503, "send the request to another node"),
    NOT_READY(503, "send the request to another node; this one has no configuration yet"),
    UNAUTHENTICATED(401, "send Azurestage-Partner and Authorization: Bearer CREDENTIAL"),
    INVALID_CONTEXT(403, "copy the Azurestage-Context header of the request being served"),
    UNKNOWN_SERVICE(404, "check the name in Azurestage-Service"),
    UNKNOWN_PARTNER(403, "check the name in Azurestage-Partner"),
    NO_BACKEND_SERVER(503, "come back later; no backend server of the service is known"),
    BODY_TOO_LARGE(413, "send a smaller body, or raise maxBodyBytes in the settings"),
    BAD_REQUEST(400, "correct the request"),
    TICKET_UNKNOWN(409, "find out whether the request took effect before asking for a new ticket"),
    TICKET_REQUIRED(428, "ask for a ticket: POST /azurestage/v1/tickets?service=NAME"),
    TICKET_MISMATCH(422, "use a new ticket for each request"),
    BROKEN_ANSWER(502, "ask again if the operation is idempotent"),
    DEPENDENCY_FAILED(502, "find out what took effect before asking again"),
    TOO_DEEP(508, "look for a cycle in the service call graph"),
    CANCELLED(499, "ask again if the answer is still wanted");

    private final int mStatus;
    private final String mRemedy;

    RefusalKind(int status, String remedy) {
        mStatus = status;
        mRemedy = remedy;
    }

    int status() {
        return mStatus;
    }

    String remedy() {
        return mRemedy;
    }

    String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /**
     * Maps a refusal of this kind, with the request not run, to an outcome for the retry policy.
     */
    AttemptOutcome outcome(Duration retryAfter) {
        return switch (this) {
            case DRAINING -> new AttemptOutcome.Draining();
            case NOT_READY, NO_BACKEND_SERVER -> new AttemptOutcome.RefusedNotRun();
            default -> new AttemptOutcome.RefusedOverloaded(retryAfter);
        };
    }

    static RefusalKind parse(String text) {
        for (RefusalKind k : values()) {
            if (k.text().equals(text)) {
                return k;
            }
        }
        return BROKEN_ANSWER;
    }
}
