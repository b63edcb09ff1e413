package io.azurestage.relay.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequestDecoder;
import java.util.List;

/**
 * Decodes requests. It stops while a request is handled, so that bytes behind it stay bytes, and it
 * measures the fields of an incomplete head or trailer section, which Netty keeps as objects.
 */
final class RequestDecoder extends HttpRequestDecoder {
    /** Estimated memory of the objects for a line of a head, apart from its bytes. */
    private static final int LINE_BYTES = 160;

    private ChannelHandlerContext mContext;
    private boolean mPaused;
    private long mPartialBytes;

    RequestDecoder(HttpDecoderConfig config) {
        super(config);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        mContext = ctx;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out)
            throws Exception {
        if (mPaused) {
            return;
        }
        int from = in.readerIndex();
        int decoded = out.size();
        super.decode(ctx, in, out);
        mPartialBytes =
                out.size() > decoded
                        ? 0
                        : mPartialBytes + memoryOfLines(in, from, in.readerIndex());
    }

    /** Leaves it to the connection when to read; the superclass reads on without a message. */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        discardSomeReadBytes();
        ctx.fireChannelReadComplete();
    }

    private static long memoryOfLines(ByteBuf in, int from, int to) {
        long bytes = to - from;
        int line = in.indexOf(from, to, (byte) '\n');
        while (line >= 0) {
            bytes += LINE_BYTES;
            line = in.indexOf(line + 1, to, (byte) '\n');
        }
        return bytes;
    }

    /** Stops decoding behind the message that is being decoded. */
    void pause() {
        mPaused = true;
    }

    /** Goes on with the bytes that have been received since the pause. */
    void resume() throws Exception {
        mPaused = false;
        if (actualReadableBytes() > 0) {
            channelRead(mContext, Unpooled.EMPTY_BUFFER);
            channelReadComplete(mContext);
        }
    }

    /** Returns the number of received bytes that are not decoded. */
    int undecodedBytes() {
        return actualReadableBytes();
    }

    /** Returns the estimated memory of the incomplete head or trailer section. */
    long partialBytes() {
        return mPartialBytes;
    }
}
