package io.azurestage.relay.http;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.stream.ChunkedInput;
import java.util.Iterator;
import java.util.List;

/**
 * Feeds a long body to a channel piece by piece, as the peer takes it, so that only a few pieces
 * occupy buffers for output at a time.
 *
 * @param <T> type of the messages with pieces
 */
public final class BodyInput<T> implements ChunkedInput<T> {
    /** Largest piece of an HTTP body. Shorter bodies are written at once. */
    static final int HTTP_PIECE_BYTES = 32 << 10;

    /**
     * Makes the message of a piece.
     *
     * @param <T> type of the message
     */
    @FunctionalInterface
    public interface Encoder<T> {
        /**
         * Returns the message of a piece.
         *
         * @param segment segment with the piece
         * @param from index of the first byte
         * @param length number of bytes
         * @param last whether the body ends with this piece
         * @return the message
         */
        T encode(byte[] segment, int from, int length, boolean last);
    }

    private final Encoder<T> mEncoder;
    private final int mPieceBytes;
    private final int mLength;
    private final Runnable mOnClosed;
    private Iterator<byte[]> mSegments;
    private byte[] mSegment;
    private int mFrom;
    private int mSent;

    /**
     * Creates an input.
     *
     * @param segments the body
     * @param skip number of bytes at the start of the first segment that are left out
     * @param pieceBytes largest length of a piece
     * @param encoder makes the messages
     * @param onClosed runs when the body has been written or the channel is closed
     */
    public BodyInput(
            List<byte[]> segments,
            int skip,
            int pieceBytes,
            Encoder<T> encoder,
            Runnable onClosed) {
        mSegments = segments.iterator();
        mSegment = mSegments.next();
        mFrom = skip;
        mSent = skip;
        mLength = segments.stream().mapToInt(s -> s.length).sum();
        mPieceBytes = pieceBytes;
        mEncoder = encoder;
        mOnClosed = onClosed;
    }

    static BodyInput<HttpContent> ofHttp(Body body) {
        return new BodyInput<>(
                body.segments(),
                0,
                HTTP_PIECE_BYTES,
                (segment, from, length, last) ->
                        last
                                ? new DefaultLastHttpContent(
                                        Unpooled.wrappedBuffer(segment, from, length))
                                : new DefaultHttpContent(
                                        Unpooled.wrappedBuffer(segment, from, length)),
                () -> {});
    }

    @Override
    public boolean isEndOfInput() {
        return mSent == mLength || mSegments == null;
    }

    @Override
    public T readChunk(ByteBufAllocator allocator) {
        if (isEndOfInput()) {
            return null;
        }
        if (mFrom == mSegment.length) {
            mSegment = mSegments.next();
            mFrom = 0;
        }
        int length = Math.min(mPieceBytes, mSegment.length - mFrom);
        int from = mFrom;
        mFrom += length;
        mSent += length;
        return mEncoder.encode(mSegment, from, length, mSent == mLength);
    }

    @Override
    @Deprecated
    public T readChunk(ChannelHandlerContext ctx) {
        return readChunk(ctx.alloc());
    }

    /** Ends the input early; what has not been written is not written any more. */
    public void stop() {
        mSegments = null;
        mSegment = new byte[0];
    }

    @Override
    public void close() {
        stop();
        mOnClosed.run();
    }

    @Override
    public long length() {
        return mLength;
    }

    @Override
    public long progress() {
        return mSent;
    }
}
