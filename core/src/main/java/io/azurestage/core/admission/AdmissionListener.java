package io.azurestage.core.admission;

import java.time.Duration;

/** Receives the admission decision for one request, on the thread that calls the controller. */
public interface AdmissionListener {

    /** Called when the request may run. It holds a slot until it is completed. */
    void onAdmitted();

    /**
     * Called when the request is refused. It has not been executed.
     *
     * @param reason reason of the refusal
     * @param retryAfter delay after which the caller may retry
     */
    void onRefused(RefusalReason reason, Duration retryAfter);
}
