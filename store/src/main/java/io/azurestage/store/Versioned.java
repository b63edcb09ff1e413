package io.azurestage.store;

/**
 * A value with its modification revision.
 *
 * @param key key
 * @param value value, at most 1 MB
 * @param revision revision of the last change of the key, for compare-and-swap
 */
public record Versioned(String key, byte[] value, long revision) {}
