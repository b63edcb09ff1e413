package io.azurestage.core.calls;

import io.azurestage.core.admission.ChainKey;

/**
 * A running request that may make calls.
 *
 * @param chain chain of the request
 * @param fraction admitted fraction that applied at the entry node of the request, in (0,1]
 * @param isRepeat whether the request is executed again
 * @param rank position of the request in the admission order of its class, in [0,1); its calls
 *     inherit it, so that all services along a deep chain admit the same requests
 * @param deadlineNanos monotonic time at which the server abandons the request
 */
public record ParentRequest(
        ChainKey chain, double fraction, boolean isRepeat, double rank, long deadlineNanos) {
    /** Rank of a call whose parent is uncertain: the middle of the range. */
    static final double UNKNOWN_RANK = 0.5;

    ParentRequest withUnknownRank() {
        return new ParentRequest(chain, fraction, isRepeat, UNKNOWN_RANK, deadlineNanos);
    }
}
