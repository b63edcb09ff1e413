package io.azurestage.core.retry;

import java.time.Duration;

/** What to do after an attempt. Every retry takes one from the allowance before it starts. */
public sealed interface RetryDecision {

    /**
     * Try another server, or the same one if there is no other.
     *
     * @param delay how long to wait first
     */
    record RetryElsewhere(Duration delay) implements RetryDecision {}

    /**
     * Send the same ticket to its owner again.
     *
     * @param delay how long to wait first
     */
    record RetrySameOwner(Duration delay) implements RetryDecision {}

    /**
     * Report the failure to the caller at once.
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
        /** All retries of the whole request are used or lent. */
        ALLOWANCE_SPENT,
        /** The request may have run, and is neither idempotent nor ticketed. */
        MAY_HAVE_RUN,
        /** The ticket is sealed at its only owner; start over with a new ticket. */
        TICKET_SEALED,
        /** The ticket's owner would replay the same answer. */
        SAME_ANSWER
    }
}
