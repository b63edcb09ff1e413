package io.azurestage.mesh;

import io.azurestage.wire.generated.Envelope;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.timeout.IdleStateHandler;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Initialises incoming connections. A connection that exceeds a limit or sends an invalid message
 * is closed and counted.
 */
final class TcpServer extends ChannelInitializer<Channel> {
    private static final int MAX_CONNECTIONS = 1_024;
    private static final int IDLE_TIMEOUT_SECONDS = 20;

    private final EnvelopeCodec mCodec;
    private final Counters mCounters;
    private final Receiver mReceiver;
    private final AtomicInteger mConnections = new AtomicInteger();
    private final AtomicLong mPartialBytes = new AtomicLong();

    TcpServer(EnvelopeCodec codec, Counters counters, Receiver receiver) {
        mCodec = codec;
        mCounters = counters;
        mReceiver = receiver;
    }

    @Override
    protected void initChannel(Channel ch) {
        if (mConnections.incrementAndGet() > MAX_CONNECTIONS) {
            mConnections.decrementAndGet();
            mCounters.mOverflowed.increment();
            ch.close();
            return;
        }
        ch.closeFuture().addListener(c -> mConnections.decrementAndGet());
        ch.pipeline()
                .addLast(new IdleStateHandler(IDLE_TIMEOUT_SECONDS, 0, 0))
                .addLast(new FrameDecoder(mPartialBytes))
                .addLast(new Handler());
    }

    private final class Handler extends SimpleChannelInboundHandler<ByteBuf> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
            int bytes = frame.readableBytes();
            Optional<Envelope> e = mCodec.decode(frame);
            if (e.isPresent()) {
                mReceiver.receive(e.get(), bytes);
            } else {
                ctx.close();
            }
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            ctx.close();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (cause instanceof TooLongFrameException) {
                mCounters.mOversized.increment();
            } else if (cause instanceof DecoderException) {
                mCounters.mMalformed.increment();
            }
            ctx.close();
        }
    }
}
