package io.azurestage.store;

import java.time.Duration;

/** Outcome of granting or renewing a lease. */
public sealed interface LeaseResult {

    /**
     * The lease was granted or renewed.
     *
     * @param id id of the lease
     * @param timeToLive time until it expires, counted from the request
     */
    record Held(long id, Duration timeToLive) implements LeaseResult {}

    /** The lease has expired. */
    record Lapsed() implements LeaseResult {}

    /**
     * The service did not answer or failed; the lease may or may not be held.
     *
     * @param reason cause of the failure
     */
    record Unavailable(String reason) implements LeaseResult {}
}
