package io.azurestage.core.memory;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Collects bytes whose number is not known in advance. Only the last, unfinished segment is ever
 * copied. Not thread-safe.
 */
public final class SegmentedBuffer {
    /** Largest segment in bytes. */
    private static final int SEGMENT_BYTES = 256 << 10;

    private static final int FIRST_BYTES = 512;

    private final List<byte[]> mFull = new ArrayList<>();
    private byte[] mLast = new byte[0];
    private int mLastLength;

    /**
     * Appends bytes.
     *
     * @param bytes the bytes, which are read
     */
    public void append(ByteBuffer bytes) {
        while (bytes.hasRemaining()) {
            if (mLastLength == mLast.length) {
                grow(bytes.remaining());
            }
            int n = Math.min(bytes.remaining(), mLast.length - mLastLength);
            bytes.get(mLast, mLastLength, n);
            mLastLength += n;
        }
    }

    private void grow(int needed) {
        if (mLastLength == SEGMENT_BYTES) {
            mFull.add(mLast);
            mLast = new byte[0];
            mLastLength = 0;
        }
        int wanted = Math.max(Math.max(FIRST_BYTES, 2 * mLast.length), mLastLength + needed);
        mLast = Arrays.copyOf(mLast, Math.min(SEGMENT_BYTES, wanted));
    }

    /**
     * Returns the number of bytes.
     *
     * @return the number of bytes collected so far
     */
    public long length() {
        return (long) mFull.size() * SEGMENT_BYTES + mLastLength;
    }

    /**
     * Returns the memory in use.
     *
     * @return the memory in bytes, at least the length
     */
    public long capacity() {
        return (long) mFull.size() * SEGMENT_BYTES + mLast.length;
    }

    /**
     * Returns the bytes in segments of 256 KiB, and a last one that may be shorter.
     *
     * @return the segments, which share the memory of this buffer
     */
    public List<byte[]> segments() {
        List<byte[]> all = new ArrayList<>(mFull);
        if (mLastLength > 0) {
            all.add(mLastLength == mLast.length ? mLast : Arrays.copyOf(mLast, mLastLength));
        }
        return all;
    }

    /**
     * Returns the bytes in one array.
     *
     * @return a copy
     */
    public byte[] toByteArray() {
        ByteBuffer all = ByteBuffer.allocate((int) length());
        mFull.forEach(all::put);
        all.put(mLast, 0, mLastLength);
        return all.array();
    }
}
