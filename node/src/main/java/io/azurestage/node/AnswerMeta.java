package io.azurestage.node;

import io.azurestage.core.admission.ServiceLevel;
import io.azurestage.core.context.RequestId;
import io.azurestage.core.time.HlcTime;
import java.util.List;

/**
 * What one node tells another about an attempt.
 *
 * @param requestId the whole request
 * @param attemptId the attempt
 * @param ran whether it ran
 * @param kind kind of refusal, empty for an answer of the backend server
 * @param unusedAllowance retries that come back
 * @param levels admitted fractions of the services that the request has reached
 * @param load load of the answering server, for routing
 * @param time hybrid logical time
 */
record AnswerMeta(
        RequestId requestId,
        long attemptId,
        RanState ran,
        String kind,
        int unusedAllowance,
        List<ServiceLevel> levels,
        double load,
        HlcTime time) {

    /** Whether an attempt ran. */
    enum RanState {
        RAN,
        NOT_RUN,
        UNKNOWN
    }
}
