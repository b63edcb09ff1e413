package io.azurestage.core.retry;

import java.time.Duration;

/** What to do after a failed attempt. Every retry is taken from the allowance before it starts. */
public sealed interface RetryDecision {

    /**
     * Retry at another server, or at the same one if there is no other.
     *
     * @param delay backoff before the retry
     */
    record RetryElsewhere(Duration delay) implements RetryDecision {}

    /**
     * Retry with the same ticket at its owner.
     *
     * @param delay backoff before the retry
     */
    record RetrySameOwner(Duration delay) implements RetryDecision {}

    /**
     * Report the failure to the caller without a retry.
     *
     * @param reason why there is no retry
     */
    record GiveUp(Reason reason) implements RetryDecision {}

    /** Why there is no retry. */
    enum Reason {
        /** The service sheds load; a retry would add to it. */
        SHEDDING,
        /** The retry would start at or after the deadline. */
        DEADLINE,
        /** All retries of the request are used or passed on to sub-calls. */
        ALLOWANCE_SPENT,
        /** The request may have run, and is neither idempotent nor ticketed. */
        MAY_HAVE_RUN,
        /** The ticket is sealed at its owner; the caller must start over with a new ticket. */
        TICKET_SEALED,
        /** The ticket's owner would replay the same answer. */
        SAME_ANSWER
    }
}
