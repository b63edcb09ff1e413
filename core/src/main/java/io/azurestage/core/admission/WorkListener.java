package io.azurestage.core.admission;

import java.time.Duration;

/** Receives the decision about one request, on the thread that calls the controller. */
public interface WorkListener {

    /** The request may run now and holds a slot until it is completed. */
    void run();

    /**
     * The request is refused and has not run.
     *
     * @param reason why
     * @param retryAfter when the caller may come back
     */
    void refuse(RefusalReason reason, Duration retryAfter);
}
