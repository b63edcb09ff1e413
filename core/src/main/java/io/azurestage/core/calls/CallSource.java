package io.azurestage.core.calls;

import io.azurestage.core.admission.ChainKey;

/**
 * A running request that may make calls.
 *
 * @param chain its chain
 * @param fraction admitted fraction that was in force where it entered, in (0,1]
 * @param repeat whether it runs again
 * @param deadlineNanos monotonic time at which the server gives it up
 */
public record CallSource(ChainKey chain, double fraction, boolean repeat, long deadlineNanos) {}
