package io.azurestage.store;

import java.time.Duration;

/** Outcome of granting or renewing a lease. */
public sealed interface LeaseResult {

    /**
     * The lease is held.
     *
     * @param id identifies the lease
     * @param timeToLive how long from the moment of the request
     */
    record Held(long id, Duration timeToLive) implements LeaseResult {}

    /** The lease has ended. */
    record Lapsed() implements LeaseResult {}

    /**
     * The service did not answer; the lease may or may not be held.
     *
     * @param reason what happened
     */
    record Unavailable(String reason) implements LeaseResult {}
}
