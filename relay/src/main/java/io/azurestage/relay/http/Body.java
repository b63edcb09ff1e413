package io.azurestage.relay.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.List;

/** A complete message body in segments, so that a long one needs no contiguous memory. */
public final class Body {
    /** A body without bytes. */
    public static final Body EMPTY = new Body(List.of());

    private final List<byte[]> mSegments;
    private final int mLength;

    private Body(List<byte[]> segments) {
        mSegments = List.copyOf(segments);
        mLength = segments.stream().mapToInt(s -> s.length).sum();
    }

    /**
     * Returns a body of one segment.
     *
     * @param bytes the bytes, which must not be changed any more
     * @return the body
     */
    public static Body of(byte[] bytes) {
        return bytes.length == 0 ? EMPTY : new Body(List.of(bytes));
    }

    /**
     * Returns a body of several segments.
     *
     * @param segments the bytes in order, which must not be changed any more
     * @return the body
     */
    public static Body ofSegments(List<byte[]> segments) {
        return segments.isEmpty() ? EMPTY : new Body(segments);
    }

    /**
     * Returns the length.
     *
     * @return the length in bytes
     */
    public int length() {
        return mLength;
    }

    /**
     * Returns the segments in order.
     *
     * @return the bytes, which must not be changed
     */
    public List<byte[]> segments() {
        return mSegments;
    }

    /**
     * Returns all bytes in one array. It is meant for short bodies, since a long one is copied.
     *
     * @return the bytes, which must not be changed
     */
    public byte[] toByteArray() {
        if (mSegments.size() == 1) {
            return mSegments.get(0);
        }
        byte[] all = new byte[mLength];
        int end = 0;
        for (byte[] s : mSegments) {
            System.arraycopy(s, 0, all, end, s.length);
            end += s.length;
        }
        return all;
    }

    /** Returns a buffer that shares the bytes. */
    ByteBuf toByteBuf() {
        return Unpooled.wrappedBuffer(mSegments.toArray(byte[][]::new));
    }
}
