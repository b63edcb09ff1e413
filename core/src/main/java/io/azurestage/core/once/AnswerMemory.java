package io.azurestage.core.once;

import java.util.List;
import java.util.Map;

/**
 * Memory accounting for stored answers. Every running request reserves an equal share, so that an
 * answer of up to that size can always be stored; a larger one is stored if enough unreserved
 * memory is left. All sizes are in bytes.
 */
final class AnswerMemory {
    /** Assumed memory overhead of each header name, header value and answer. */
    private static final int OVERHEAD_BYTES = 64;

    private final long mMaxBytes;
    private final long mReservationBytes;
    private long mStoredBytes;
    private long mReservedBytes;

    AnswerMemory(long maxBytes, int reservations) {
        if (maxBytes < 0) {
            throw new IllegalArgumentException("maxBytes must be 0 or more, not " + maxBytes);
        }
        mMaxBytes = maxBytes;
        mReservationBytes = maxBytes / reservations;
    }

    boolean tryReserve() {
        if (mStoredBytes + mReservedBytes + mReservationBytes > mMaxBytes) {
            return false;
        }
        mReservedBytes += mReservationBytes;
        return true;
    }

    void release() {
        mReservedBytes -= mReservationBytes;
    }

    /**
     * Accounts for an answer whose reservation has just been released.
     *
     * @return false if the answer does not fit
     */
    boolean tryStore(StoredAnswer a) {
        long size = sizeOf(a);
        if (mStoredBytes + mReservedBytes + size > mMaxBytes) {
            return false;
        }
        mStoredBytes += size;
        return true;
    }

    void free(StoredAnswer a) {
        mStoredBytes -= sizeOf(a);
    }

    long storedBytes() {
        return mStoredBytes;
    }

    private static long sizeOf(StoredAnswer a) {
        long size = OVERHEAD_BYTES + a.body().length;
        for (Map.Entry<String, List<String>> h : a.headers().entrySet()) {
            size += OVERHEAD_BYTES + h.getKey().length();
            for (String v : h.getValue()) {
                size += OVERHEAD_BYTES + v.length();
            }
        }
        return size;
    }
}
