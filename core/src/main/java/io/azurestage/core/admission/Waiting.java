package io.azurestage.core.admission;

import io.azurestage.config.WorkClass;

/**
 * A request between its arrival and its end.
 *
 * @param work the request
 * @param partner state of the partner that is charged
 * @param arrivedNanos arrival on the monotonic clock
 * @param sequence order of arrival
 */
record Waiting(Work work, PartnerState partner, long arrivedNanos, long sequence) {

    @Override
    public boolean equals(Object o) {
        return this == o;
    }

    @Override
    public int hashCode() {
        return System.identityHashCode(this);
    }

    /** Class in whose turn the work is served: calls of running requests go first. */
    int classIndex() {
        return work.inProgress() ? WorkClass.CRITICAL.ordinal() : work.workClass().ordinal();
    }

    /** Class whose demand and service times the work belongs to. */
    int demandIndex() {
        return work.workClass().ordinal();
    }
}
