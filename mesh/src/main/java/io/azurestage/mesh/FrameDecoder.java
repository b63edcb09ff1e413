package io.azurestage.mesh;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.protobuf.ProtobufVarint32FrameDecoder;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Varint32 frame decoder that limits the length of a frame and the total length of all frames that
 * are being received. Without these limits, any peer that can connect could exhaust the memory.
 */
public final class FrameDecoder extends ProtobufVarint32FrameDecoder {
    /** Maximum frame length in bytes; leaves room around a document of 1 MB. */
    static final int MAX_FRAME_BYTES = 2 << 20;

    private static final long MAX_PARTIAL_BYTES = 32L << 20;
    private static final int MAX_VARINT_BYTES = 5;
    private static final int PAYLOAD_BITS = 7;

    private final AtomicLong mPartialBytes;
    private long mReservedBytes;

    /**
     * Creates a decoder.
     *
     * @param partialBytes total length in bytes of all frames that are being received; shared by
     *     the decoders to which the limit applies
     */
    public FrameDecoder(AtomicLong partialBytes) {
        mPartialBytes = partialBytes;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out)
            throws Exception {
        long length = peekLength(in);
        if (length > MAX_FRAME_BYTES) {
            in.skipBytes(in.readableBytes());
            throw new TooLongFrameException(
                    "frame length of " + length + " bytes exceeds the limit");
        }
        if (length >= 0 && mReservedBytes == 0) {
            reserve(length, in);
        }
        int decodedBefore = out.size();
        super.decode(ctx, in, out);
        if (out.size() > decodedBefore) {
            release();
        }
    }

    @Override
    protected void handlerRemoved0(ChannelHandlerContext ctx) throws Exception {
        release();
        super.handlerRemoved0(ctx);
    }

    private void reserve(long bytes, ByteBuf in) {
        if (mPartialBytes.addAndGet(bytes) > MAX_PARTIAL_BYTES) {
            mPartialBytes.addAndGet(-bytes);
            in.skipBytes(in.readableBytes());
            throw new TooLongFrameException("frames being received exceed the memory limit");
        }
        mReservedBytes = bytes;
    }

    private void release() {
        mPartialBytes.addAndGet(-mReservedBytes);
        mReservedBytes = 0;
    }

    /** Returns the frame length from its prefix, or -1 if the prefix is still incomplete. */
    private static long peekLength(ByteBuf in) {
        long length = 0;
        for (int i = 0; i < Math.min(MAX_VARINT_BYTES, in.readableBytes()); i++) {
            byte b = in.getByte(in.readerIndex() + i);
            length |= (long) (b & 0x7f) << PAYLOAD_BITS * i;
            if (b >= 0) {
                return length;
            }
        }
        return -1;
    }
}
