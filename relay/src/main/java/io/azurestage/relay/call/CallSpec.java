package io.azurestage.relay.call;

import io.azurestage.config.WorkClass;
import io.azurestage.relay.http.Field;
import java.util.List;

/**
 * One attempt of a request, for the backend server beside a node.
 *
 * @param requestId id of the caller's attempt
 * @param method method
 * @param target path and query
 * @param host value of the Host header
 * @param fields end-to-end header fields, as the backend server gets them
 * @param body whole body
 * @param deadlineNanos monotonic time of this process by which an answer is needed
 * @param service service that is called
 * @param operation name of the route
 * @param workClass class of work
 * @param order stable order of the request within its class, in [0,1)
 * @param fraction admitted fraction in force where the request entered
 * @param inProgress whether it is a call of a request that runs already
 * @param repeat whether it, or the request that made it, was sent before
 * @param retry whether this attempt itself follows one that reached a server, so that it needs a
 *     part of the retry budget
 * @param granted whether the node of the last attempt has taken that part from its budget already
 * @param idempotent whether it may run more than once
 * @param callerService service of the VM where the request began
 */
public record CallSpec(
        String requestId,
        String method,
        String target,
        String host,
        List<Field> fields,
        byte[] body,
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
     * Returns the same request, marked as a retry.
     *
     * @param granted whether the node of the last attempt has paid for it
     * @return a copy
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
