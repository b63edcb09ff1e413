package io.azurestage.relay.call;

import io.azurestage.config.WorkClass;
import io.azurestage.relay.http.Body;
import io.azurestage.relay.http.Field;
import java.util.List;

/**
 * One attempt at a request, for the backend server beside a node.
 *
 * @param requestId id of the caller's attempt
 * @param method HTTP method
 * @param target path and query
 * @param host value of the Host header
 * @param fields end-to-end header fields to forward to the backend server
 * @param body complete body
 * @param deadlineNanos deadline for the answer, on the monotonic clock of this process
 * @param service name of the called service
 * @param operation name of the route
 * @param workClass work class
 * @param order position of the request in the admission order of its class, in [0,1)
 * @param fraction admitted fraction at the node where the request entered, in (0,1]
 * @param inProgress whether it is a call made by a request that is already running
 * @param repeat whether it, or the request that made it, is a retry
 * @param retry whether this attempt itself is a retry of one that reached a server, and so must be
 *     covered by a retry budget
 * @param granted whether the node of the previous attempt has charged this retry to its own budget
 * @param idempotent whether it may run more than once
 * @param callerService service of the VM where the request entered
 */
public record CallSpec(
        String requestId,
        String method,
        String target,
        String host,
        List<Field> fields,
        Body body,
        long deadlineNanos,
        String service,
        String operation,
        WorkClass workClass,
        double order,
        double fraction,
        boolean inProgress,
        boolean repeat,
        boolean retry,
        boolean granted,
        boolean idempotent,
        String callerService) {

    /**
     * Returns a copy that is marked as a retry.
     *
     * @param granted whether the node of the previous attempt has charged it to its retry budget
     * @return the copy
     */
    public CallSpec asRetry(boolean granted) {
        return new CallSpec(
                requestId,
                method,
                target,
                host,
                fields,
                body,
                deadlineNanos,
                service,
                operation,
                workClass,
                order,
                fraction,
                inProgress,
                true,
                true,
                granted,
                idempotent,
                callerService);
    }
}
