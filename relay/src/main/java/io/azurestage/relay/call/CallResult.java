package io.azurestage.relay.call;

import io.azurestage.relay.http.Field;
import java.time.Duration;
import java.util.List;

/** How one attempt ended. */
public sealed interface CallResult {

    /**
     * The backend server answered.
     *
     * @param status HTTP status
     * @param fields end-to-end header fields
     * @param body whole body
     * @param notRun whether the server states that it did not run the request
     */
    record Answered(int status, List<Field> fields, byte[] body, boolean notRun)
            implements CallResult {}

    /**
     * The request did not run and will not.
     *
     * @param reason why
     * @param retryAfter when the caller may come back
     * @param elsewhere whether another server may have room for it now
     */
    record NotRun(String reason, Duration retryAfter, boolean elsewhere) implements CallResult {}

    /**
     * The request may have run, and there is no answer.
     *
     * @param reason what happened
     */
    record MaybeRun(String reason) implements CallResult {}
}
