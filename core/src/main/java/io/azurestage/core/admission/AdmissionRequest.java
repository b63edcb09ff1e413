package io.azurestage.core.admission;

import io.azurestage.config.WorkClass;

/**
 * A request for admission. Compared by identity, since each attempt is a separate object.
 *
 * @param partner partner whose share is charged
 * @param workClass class of work
 * @param rank stable rank of the request in [0,1); lower ranks are admitted first
 * @param deadlineNanos deadline on the monotonic clock
 * @param entryFraction admitted fraction that applied at the entry node, in (0,1]
 * @param retry whether this is a retry
 * @param operation operation of the service, whose typical service time is compared with the
 *     deadline; empty to use that of the class
 * @param inProgress whether this is a call made by a running request: it takes precedence within
 *     its class and is refused only if it cannot meet its deadline, because the work done so far
 *     would be wasted
 * @param listener notified of the decision
 */
public record AdmissionRequest(
        String partner,
        WorkClass workClass,
        double rank,
        long deadlineNanos,
        double entryFraction,
        boolean retry,
        String operation,
        boolean inProgress,
        AdmissionListener listener) {

    /**
     * Creates a request that is not a call made by a running request.
     *
     * @param partner partner whose share is charged
     * @param workClass class of work
     * @param rank stable rank of the request in [0,1); lower ranks are admitted first
     * @param deadlineNanos deadline on the monotonic clock
     * @param entryFraction admitted fraction that applied at the entry node, in (0,1]
     * @param retry whether this is a retry
     * @param listener notified of the decision
     */
    public AdmissionRequest(
            String partner,
            WorkClass workClass,
            double rank,
            long deadlineNanos,
            double entryFraction,
            boolean retry,
            AdmissionListener listener) {
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
