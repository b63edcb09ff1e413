package io.azurestage.core.admission;

import java.time.Duration;

/** Receives the admission decision for one request, on the thread that calls the controller. */
public interface WorkListener {

    /** Called when the request may run. It holds a slot until it is completed. */
    void run();

    /**
     * Called when the request is refused. It has not been executed.
     *
     * @param reason reason of the refusal
     * @param retryAfter delay after which the caller may retry
     */
    void refuse(RefusalReason reason, Duration retryAfter);
}
