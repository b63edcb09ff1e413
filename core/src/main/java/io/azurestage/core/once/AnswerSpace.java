package io.azurestage.core.once;

import java.util.List;
import java.util.Map;

/**
 * Memory for stored answers. Every running request reserves an equal part of it, so that an answer
 * of up to that size can always be kept; a larger one is kept if unreserved space is left.
 */
final class AnswerSpace {
    private static final int BYTES_PER_FIELD = 64;

    private final long mMax;
    private final long mPart;
    private long mStored;
    private long mReserved;

    AnswerSpace(long max, int parts) {
        if (max < 0) {
            throw new IllegalArgumentException("maxBytes must be 0 or more, not " + max);
        }
        mMax = max;
        mPart = max / parts;
    }

    boolean reserve() {
        if (mStored + mReserved + mPart > mMax) {
            return false;
        }
        mReserved += mPart;
        return true;
    }

    void release() {
        mReserved -= mPart;
    }

    /** Takes space for an answer whose reservation was released just before. */
    boolean store(StoredAnswer a) {
        long size = size(a);
        if (mStored + mReserved + size > mMax) {
            return false;
        }
        mStored += size;
        return true;
    }

    void free(StoredAnswer a) {
        mStored -= size(a);
    }

    long stored() {
        return mStored;
    }

    private static long size(StoredAnswer a) {
        long size = BYTES_PER_FIELD + a.body().length;
        for (Map.Entry<String, List<String>> h : a.headers().entrySet()) {
            size += BYTES_PER_FIELD + h.getKey().length();
            for (String v : h.getValue()) {
                size += BYTES_PER_FIELD + v.length();
            }
        }
        return size;
    }
}
