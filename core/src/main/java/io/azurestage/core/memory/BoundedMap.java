package io.azurestage.core.memory;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A map that drops its oldest entry when it would exceed a size. Not thread-safe.
 *
 * @param <K> type of the keys
 * @param <V> type of the values
 */
public final class BoundedMap<K, V> extends LinkedHashMap<K, V> {
    private static final long serialVersionUID = 1;

    private final int mMaxSize;

    /**
     * Creates an empty map.
     *
     * @param maxSize largest number of entries
     */
    public BoundedMap(int maxSize) {
        mMaxSize = maxSize;
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
        return size() > mMaxSize;
    }
}
