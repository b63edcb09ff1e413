package io.azurestage.core.retry;

import java.time.Duration;
import java.util.Objects;

/**
 * A failed attempt, as input to the decision whether to retry.
 *
 * @param outcome how the attempt ended
 * @param idempotent whether running the request twice has the same effect as running it once
 * @param ticketed whether the request carries a ticket and so can only run at the ticket's owner
 * @param retries number of retries that this hop has made for the request so far, 0 or more
 * @param remaining time until the deadline, negative if it has passed
 * @param allowance number of retries left, see {@link Allowance#left()}
 */
public record Attempt(
        AttemptOutcome outcome,
        boolean idempotent,
        boolean ticketed,
        int retries,
        Duration remaining,
        int allowance) {

    /** Validates the arguments. */
    public Attempt {
        Objects.requireNonNull(outcome, "outcome");
        Objects.requireNonNull(remaining, "remaining");
        if (retries < 0) {
            throw new IllegalArgumentException("retries must be 0 or more, not " + retries);
        }
    }
}
