package io.azurestage.client;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** Result of a call: exactly one of a complete response, a refusal, or a failure. */
public sealed interface CallResult {

    /**
     * A complete response. The status may still report an error of the service.
     *
     * @param status HTTP status
     * @param headers response headers by lower-case name
     * @param body the body; empty if it was written to the sink of the call
     * @param streamedBytes length of a body that was written to the sink, otherwise 0
     */
    record Whole(int status, Map<String, List<String>> headers, byte[] body, long streamedBytes)
            implements CallResult {

        /**
         * Returns the first value of a header.
         *
         * @param name header name in any case
         * @return the value, or empty if the response has no such header
         */
        public Optional<String> header(String name) {
            List<String> values = headers.get(name.toLowerCase(Locale.ROOT));
            return values == null ? Optional.empty() : Optional.of(values.get(0));
        }
    }

    /**
     * A refusal. {@link Ran#NOT_RUN} is certain: the call has no effect and can be made again.
     *
     * @param kind kind of the refusal, for example {@code overloaded}; {@code no-entry} if no entry
     *     node could be reached to fetch a ticket
     * @param ran whether the call has run
     * @param retryAfter shortest time to wait before the call is made again; zero if none is given
     * @param remedy what the caller can do, or empty
     * @param requestId request id for the operators, or empty
     */
    record Refused(String kind, Ran ran, Duration retryAfter, String remedy, String requestId)
            implements CallResult {}

    /**
     * The response was lost or broken, so it is not known whether the call has run.
     *
     * @param reason why the last attempt failed
     */
    record Failed(String reason) implements CallResult {

        /**
         * Returns whether the call has run.
         *
         * @return always {@link Ran#UNKNOWN}
         */
        public Ran ran() {
            return Ran.UNKNOWN;
        }
    }
}
