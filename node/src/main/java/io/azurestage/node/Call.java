package io.azurestage.node;

import io.azurestage.config.Operation;
import io.azurestage.config.WorkClass;
import io.azurestage.core.admission.ChainKey;
import io.azurestage.core.context.NodeIdentity;
import io.azurestage.core.context.RequestContext;
import io.azurestage.core.context.RequestId;
import io.azurestage.core.once.Ticket;
import io.azurestage.core.time.HlcTime;
import java.time.Instant;
import java.util.Optional;
import org.eclipse.jetty.http.HttpFields;

/**
 * One call to a service, at one hop.
 *
 * @param id request that the call belongs to
 * @param partner partner whose share is charged; empty for a call of no request
 * @param workClass class of work
 * @param deadline wall-clock time at which the caller stops waiting
 * @param deadlineNanos the same deadline in nanoseconds of the monotonic clock
 * @param service service to call
 * @param operation configured operation that matches method and path
 * @param method HTTP method
 * @param target path and query
 * @param headers end-to-end header fields
 * @param body complete body; must not be modified
 * @param ticket ticket that lets a non-idempotent request run at most once
 * @param depth number of hops from the entry node
 * @param entryFraction admitted fraction, 0 to 1, applied on the path to this hop
 * @param repeatable whether an ancestor call may be retried
 * @param retry whether this attempt is a retry
 */
record Call(
        RequestId id,
        String partner,
        WorkClass workClass,
        Instant deadline,
        long deadlineNanos,
        String service,
        Operation operation,
        String method,
        String target,
        HttpFields headers,
        byte[] body,
        Optional<Ticket> ticket,
        int depth,
        double entryFraction,
        boolean repeatable,
        boolean retry) {

    ChainKey chainKey() {
        return new ChainKey(service, method + " " + operation.pathPrefix(), partner, workClass);
    }

    /** Reports whether this call, and with it its sub-calls, may be run again. */
    boolean mayRunAgain() {
        return operation.idempotent();
    }

    /** Returns a copy of this call with the given admitted fraction. */
    Call withEntryFraction(double fraction) {
        return new Call(
                id,
                partner,
                workClass,
                deadline,
                deadlineNanos,
                service,
                operation,
                method,
                target,
                headers,
                body,
                ticket,
                depth,
                fraction,
                repeatable,
                retry);
    }

    /**
     * Creates the request context of one attempt at this call.
     *
     * @param audience node incarnation that the attempt is sent to
     * @param attemptId id of the attempt
     * @param allowance retries that the attempt may use
     * @param isRetry whether the attempt is a retry
     * @param time hybrid logical time of this node
     */
    RequestContext context(
            NodeIdentity audience, long attemptId, int allowance, boolean isRetry, HlcTime time) {
        return new RequestContext(
                id,
                partner,
                workClass,
                deadline,
                allowance,
                attemptId,
                depth,
                entryFraction,
                repeatable,
                isRetry,
                audience,
                time);
    }
}
