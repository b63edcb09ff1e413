package io.azurestage.core.calls;

import io.azurestage.core.admission.ChainKey;

/**
 * A running request that may make calls.
 *
 * @param chain chain of the request
 * @param fraction admitted fraction that applied at the entry node of the request, in (0,1]
 * @param repeat whether the request is executed again
 * @param order rank of the request in the admission order of its class, in [0,1); its calls inherit
 *     it, so that all services along a deep chain admit the same requests
 * @param deadlineNanos monotonic time at which the server abandons the request
 */
public record CallSource(
        ChainKey chain, double fraction, boolean repeat, double order, long deadlineNanos) {
    /** Rank of a call whose parent is uncertain: the middle of the range. */
    static final double UNKNOWN_ORDER = 0.5;

    CallSource withUnknownOrder() {
        return new CallSource(chain, fraction, repeat, UNKNOWN_ORDER, deadlineNanos);
    }
}
