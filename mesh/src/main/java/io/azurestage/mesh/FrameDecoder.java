package io.azurestage.mesh;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.protobuf.ProtobufVarint32FrameDecoder;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Netty's varint32 frame decoder with a bound on the length of a frame and on the bytes of all
 * frames that are being received. Without them, anyone who can connect could fill the memory.
 */
public final class FrameDecoder extends ProtobufVarint32FrameDecoder {
    /** Largest frame, in bytes; holds a document of 1 MB with room to spare. */
    static final int MAX_FRAME_BYTES = 2 << 20;

    private static final long MAX_PARTIAL_BYTES = 32L << 20;
    private static final int MAX_VARINT_BYTES = 5;
    private static final int PAYLOAD_BITS = 7;

    private final AtomicLong mPartialBytes;
    private long mReserved;

    /**
     * Creates a decoder.
     *
     * @param partialBytes bytes of all frames that are being received, shared by the decoders of a
     *     node
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
            throw new TooLongFrameException("a frame of " + length + " bytes was announced");
        }
        if (length >= 0 && mReserved == 0) {
            reserve(length, in);
        }
        int before = out.size();
        super.decode(ctx, in, out);
        if (out.size() > before) {
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
            throw new TooLongFrameException("too many frames are being received at once");
        }
        mReserved = bytes;
    }

    private void release() {
        mPartialBytes.addAndGet(-mReserved);
        mReserved = 0;
    }

    /** Returns the announced length, or -1 when its last byte was not received yet. */
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
