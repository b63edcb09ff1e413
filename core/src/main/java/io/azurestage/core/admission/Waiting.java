package io.azurestage.core.admission;

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

    int classIndex() {
        return work.workClass().ordinal();
    }
}
