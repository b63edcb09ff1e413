package io.azurestage.relay.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Ticker;

/**
 * First handler of a client's connection. It reports each read after its bytes have been decoded,
 * and drops what is received after the last response.
 */
final class ReadMeter extends ChannelInboundHandlerAdapter {
    private final InboundConnection mConnection;

    ReadMeter(InboundConnection connection) {
        mConnection = connection;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (mConnection.isClosing()) {
            ReferenceCountUtil.release(message);
            return;
        }
        Ticker ticker = ctx.executor().ticker();
        long start = ticker.nanoTime();
        ctx.fireChannelRead(message);
        mConnection.bytesRead(ticker.nanoTime() - start);
    }
}
