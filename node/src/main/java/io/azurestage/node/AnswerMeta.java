package io.azurestage.node;

import io.azurestage.core.admission.ServiceLevel;
import io.azurestage.core.context.RequestId;
import io.azurestage.core.time.HlcTime;
import java.util.List;

/**
 * Metadata that a node adds to its answer to an attempt of another node.
 *
 * @param requestId request that the attempt belongs to
 * @param attemptId id of the attempt
 * @param ran whether the attempt ran
 * @param kind kind of refusal, empty for an answer of the backend server
 * @param unusedAllowance retries that were granted to the attempt and not used
 * @param levels admitted fractions of the services that the request has reached
 * @param load load of the answering server, for routing
 * @param time hybrid logical time of the answering node
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
