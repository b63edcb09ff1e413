package io.azurestage.mesh;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.protobuf.ProtobufVarint32LengthFieldPrepender;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Sends messages over outgoing connections, one per target, which are closed when idle. Messages
 * beyond the limits are dropped, since the protocol sends its state again.
 */
final class TcpSender {
    private static final int MAX_CONNECTIONS = 128;
    private static final long MAX_PENDING_BYTES = 16L << 20;
    private static final int IDLE_TIMEOUT_SECONDS = 5;
    private static final int CONNECT_TIMEOUT_MILLIS = 2_000;
    private static final int MAX_PREFIX_BYTES = 5;

    private final EventLoop mLoop;
    private final Counters mCounters;
    private final Bootstrap mBootstrap;
    private final AtomicLong mPendingBytes = new AtomicLong();

    /** Accessed on the event loop only. */
    private final Map<InetSocketAddress, ChannelFuture> mConnections = new HashMap<>();

    TcpSender(EventLoop loop, Counters counters) {
        mLoop = loop;
        mCounters = counters;
        mBootstrap =
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .handler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel ch) {
                                        ch.pipeline()
                                                .addLast(
                                                        new IdleStateHandler(
                                                                0, 0, IDLE_TIMEOUT_SECONDS))
                                                .addLast(new CloseHandler())
                                                .addLast(
                                                        new ProtobufVarint32LengthFieldPrepender());
                                    }
                                });
    }

    /** Sends a message; may be called on any thread. */
    void send(InetSocketAddress target, byte[] message) {
        if (mPendingBytes.addAndGet(message.length) > MAX_PENDING_BYTES) {
            mPendingBytes.addAndGet(-message.length);
            mCounters.mOverflowed.increment();
            return;
        }
        mLoop.execute(() -> write(target, message));
    }

    private void write(InetSocketAddress target, byte[] message) {
        ChannelFuture connected = mConnections.get(target);
        if (connected == null) {
            if (mConnections.size() >= MAX_CONNECTIONS) {
                mPendingBytes.addAndGet(-message.length);
                mCounters.mOverflowed.increment();
                return;
            }
            connected = connect(target);
        }
        Channel channel = connected.channel();
        connected.addListener(
                c -> {
                    if (!c.isSuccess()) {
                        mPendingBytes.addAndGet(-message.length);
                        mCounters.mUnreachable.increment();
                        return;
                    }
                    channel.writeAndFlush(Unpooled.wrappedBuffer(message))
                            .addListener(w -> onWritten(w.isSuccess(), message.length));
                });
    }

    private ChannelFuture connect(InetSocketAddress target) {
        ChannelFuture connected = mBootstrap.connect(target);
        mConnections.put(target, connected);
        connected.channel().closeFuture().addListener(c -> mConnections.remove(target, connected));
        return connected;
    }

    private void onWritten(boolean success, int bytes) {
        mPendingBytes.addAndGet(-bytes);
        if (success) {
            mCounters.recordSent(bytes + prefixBytes(bytes));
        } else {
            mCounters.mUnreachable.increment();
        }
    }

    private static int prefixBytes(int length) {
        int bytes = 1;
        for (int remaining = length >>> 7;
                remaining != 0 && bytes < MAX_PREFIX_BYTES;
                remaining >>>= 7) {
            bytes++;
        }
        return bytes;
    }

    /** Closes a connection that is idle or broken, or on which the peer sends data. */
    private static final class CloseHandler extends ChannelInboundHandlerAdapter {
        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            ctx.close();
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            ReferenceCountUtil.release(message);
            ctx.close();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
