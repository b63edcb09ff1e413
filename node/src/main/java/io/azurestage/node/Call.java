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
 * @param id the whole request
 * @param partner partner that is charged
 * @param workClass class of work
 * @param deadline when the caller stops waiting
 * @param deadlineNanos the same on the monotonic clock
 * @param service service to call
 * @param operation how the configuration treats the call
 * @param method HTTP method
 * @param target path and query
 * @param headers end-to-end header fields
 * @param body whole body; not changed by anybody
 * @param ticket permission to run a non-idempotent request
 * @param depth hops below the entry
 * @param entryFraction admitted fraction in force on the way here
 * @param repeatable whether an ancestor may be run again
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

    /** Whether running this call again, or anything that it calls, is allowed. */
    boolean mayRunAgain() {
        return operation.idempotent();
    }

    /** The same call with another admitted fraction on the way here. */
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
     * The context of one attempt at this call.
     *
     * @param audience the node incarnation that the attempt is sent to
     * @param attemptId identifies the attempt
     * @param allowance retries that the attempt may use
     * @param again whether it is a retry
     * @param time hybrid logical time of this node
     */
    RequestContext context(
            NodeIdentity audience, long attemptId, int allowance, boolean again, HlcTime time) {
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
                again,
                audience,
                time);
    }
}
