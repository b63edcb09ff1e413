package io.azurestage.core.retry;

import java.time.Duration;

/** Outcome of an attempt that gave no usable answer. */
public sealed interface AttemptOutcome {

    /** Refused before it ran, for a reason other than overload, such as a node that is starting. */
    record RefusedNotRun() implements AttemptOutcome {}

    /**
     * Refused before it ran, because the service sheds load.
     *
     * @param retryAfter time after which the service accepts a retry
     */
    record RefusedOverloaded(Duration retryAfter) implements AttemptOutcome {}

    /** Refused before it ran, because the server is draining. */
    record Draining() implements AttemptOutcome {}

    /** The connection could not be established, so nothing was sent. */
    record ConnectFailed() implements AttemptOutcome {}

    /** The request was sent, but no answer was received. It may have run. */
    record LostAnswer() implements AttemptOutcome {}

    /** The answer was truncated or malformed. The request may have run. */
    record BrokenAnswer() implements AttemptOutcome {}

    /** A complete answer reports a server error. The request has run, wholly or in part. */
    record ServerError() implements AttemptOutcome {}
}
