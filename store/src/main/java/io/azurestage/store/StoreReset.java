package io.azurestage.store;

/**
 * Reports that the service was restored from an older copy of its data. What was written after the
 * copy is lost, leases too, and revisions and lease ids are given out again.
 *
 * @param previousEra number of the service's data before, as the service states it
 * @param era number of its data now
 */
public record StoreReset(long previousEra, long era) {}
