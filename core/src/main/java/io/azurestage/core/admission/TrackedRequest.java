package io.azurestage.core.admission;

/**
 * A queued or running request.
 *
 * @param work the request
 * @param partner state of the partner whose share is charged
 * @param arrivedNanos arrival time on the monotonic clock
 * @param sequence arrival number, increasing
 */
record TrackedRequest(
        AdmissionRequest work, PartnerState partner, long arrivedNanos, long sequence) {

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
