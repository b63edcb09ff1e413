package io.azurestage.store;

/**
 * A key and its value with its modification revision.
 *
 * @param key the key
 * @param value the value, at most 1 MB
 * @param revision revision of the last write of the key, to be expected by a compare-and-swap
 */
public record Versioned(String key, byte[] value, long revision) {}
