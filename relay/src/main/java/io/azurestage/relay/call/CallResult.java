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
     * @param run what became of the request at the server
     */
    record Answered(int status, List<Field> fields, byte[] body, Run run) implements CallResult {

        /** What became of a request that a server has answered. */
        public enum Run {
            /** It ran, and the answer is its result, whether good or bad. */
            ENDED,
            /** The server failed, though no call that it made for the request had failed. */
            FAILED,
            /** The server states that it did not run it. */
            REFUSED
        }

        /**
         * Reports whether the server did not run the request.
         *
         * @return whether the server states so
         */
        public boolean notRun() {
            return run == Run.REFUSED;
        }
    }

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
