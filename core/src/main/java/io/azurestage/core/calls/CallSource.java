package io.azurestage.core.calls;

import io.azurestage.core.admission.ChainKey;

/**
 * A running request that may make calls.
 *
 * @param chain its chain
 * @param fraction admitted fraction that was in force where it entered, in (0,1]
 * @param repeat whether it runs again
 * @param order its place in the order of admission of its class, in [0,1); its calls keep it, so
 *     that a deep chain is served everywhere or nowhere
 * @param deadlineNanos monotonic time at which the server gives it up
 */
public record CallSource(
        ChainKey chain, double fraction, boolean repeat, double order, long deadlineNanos) {
    /** Place of a call whose parent is not known for sure: in the middle. */
    static final double UNKNOWN_ORDER = 0.5;

    CallSource withUnknownOrder() {
        return new CallSource(chain, fraction, repeat, UNKNOWN_ORDER, deadlineNanos);
    }
}
