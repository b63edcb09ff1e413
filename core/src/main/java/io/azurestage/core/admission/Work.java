package io.azurestage.core.admission;

import io.azurestage.config.WorkClass;

/**
 * One request that asks for admission. Compared by identity: each attempt is a work of its own.
 *
 * @param partner partner that is charged
 * @param workClass class of work
 * @param rank stable rank of the request in [0,1), lower is admitted first
 * @param deadlineNanos deadline on the monotonic clock
 * @param entryFraction admitted fraction in force where the request entered, in (0,1]
 * @param retry whether this is a retry
 * @param operation operation of the service, whose usual time is compared with the deadline; empty
 *     to compare with the usual time of the class
 * @param inProgress whether this is a call of a request that runs already: it goes first in its
 *     class and is refused only when it cannot meet its deadline, because the work done so far
 *     would be wasted
 * @param listener receives the decision
 */
public record Work(
        String partner,
        WorkClass workClass,
        double rank,
        long deadlineNanos,
        double entryFraction,
        boolean retry,
        String operation,
        boolean inProgress,
        WorkListener listener) {

    /**
     * Creates a request that is not a call of a running request.
     *
     * @param partner partner that is charged
     * @param workClass class of work
     * @param rank stable rank of the request in [0,1), lower is admitted first
     * @param deadlineNanos deadline on the monotonic clock
     * @param entryFraction admitted fraction in force where the request entered, in (0,1]
     * @param retry whether this is a retry
     * @param listener receives the decision
     */
    public Work(
            String partner,
            WorkClass workClass,
            double rank,
            long deadlineNanos,
            double entryFraction,
            boolean retry,
            WorkListener listener) {
        this(partner, workClass, rank, deadlineNanos, entryFraction, retry, "", false, listener);
    }

    @Override
    public boolean equals(Object o) {
        return this == o;
    }

    @Override
    public int hashCode() {
        return System.identityHashCode(this);
    }
}
