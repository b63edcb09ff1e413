package io.azurestage.relay.call;

import io.azurestage.relay.http.Body;
import io.azurestage.relay.http.Field;
import java.time.Duration;
import java.util.List;

/** Result of one attempt. */
public sealed interface CallResult {

    /**
     * The backend server answered.
     *
     * @param status HTTP status
     * @param fields end-to-end header fields
     * @param body complete body
     * @param execution how the server handled the request
     */
    record Answered(int status, List<Field> fields, Body body, Execution execution)
            implements CallResult {

        /** How a server that answered handled the request. */
        public enum Execution {
            /** The request ran, and the answer is its result, whether success or error. */
            COMPLETED,
            /**
             * The server failed, although none of the calls that it made for the request had
             * failed.
             */
            FAILED,
            /** The server states that it did not run the request. */
            REFUSED
        }

        /**
         * Reports whether the server did not run the request.
         *
         * @return whether the server states so
         */
        public boolean notRun() {
            return execution == Execution.REFUSED;
        }
    }

    /**
     * The request did not run and will not.
     *
     * @param reason why it did not run
     * @param retryAfter delay after which the caller may try again
     * @param retryElsewhere whether another server may be able to run it now
     */
    record NotRun(String reason, Duration retryAfter, boolean retryElsewhere)
            implements CallResult {}

    /**
     * No usable answer arrived, and the request may have run.
     *
     * @param reason why there is no usable answer
     */
    record MaybeRun(String reason) implements CallResult {}
}
