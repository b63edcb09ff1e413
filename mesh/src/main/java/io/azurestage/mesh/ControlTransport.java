package io.azurestage.mesh;

import io.azurestage.core.membership.Transport;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Sends and receives control messages on one port, over UDP and TCP, on one event loop. */
final class ControlTransport {
    /**
     * Exceeds {@link UdpHandler#MAX_BYTES}, because a longer datagram must be read whole to be
     * recognised as oversized.
     */
    private static final int RECEIVE_BUFFER_BYTES = 2048;

    private static final int EPHEMERAL_PORT_ATTEMPTS = 16;
    private static final int CLOSE_TIMEOUT_SECONDS = 2;

    private final MultiThreadIoEventLoopGroup mGroup;
    private final Counters mCounters;
    private final TcpSender mTcpSender;
    private Channel mTcpChannel;
    private Channel mUdpChannel;

    ControlTransport(Counters counters) {
        mCounters = counters;
        mGroup =
                new MultiThreadIoEventLoopGroup(
                        1, new DefaultThreadFactory("mesh-io", true), NioIoHandler.newFactory());
        mTcpSender = new TcpSender(mGroup.next(), counters);
    }

    /**
     * Binds the port for TCP and UDP.
     *
     * @return the port number, which is a free one if the address has port 0
     * @throws MeshStartException if the port cannot be opened
     */
    int open(String address, EnvelopeCodec codec, Receiver receiver) {
        InetSocketAddress requested = Address.parse(address).orElseThrow();
        TcpServer tcp = new TcpServer(codec, mCounters, receiver);
        UdpHandler udp = new UdpHandler(codec, mCounters, receiver);
        Throwable failure = null;
        for (int i = 0; i < (requested.getPort() == 0 ? EPHEMERAL_PORT_ATTEMPTS : 1); i++) {
            ChannelFuture server = bindTcp(requested, tcp);
            failure = server.cause();
            if (failure != null) {
                continue;
            }
            InetSocketAddress bound = (InetSocketAddress) server.channel().localAddress();
            ChannelFuture datagrams = bindUdp(bound, udp);
            failure = datagrams.cause();
            if (failure == null) {
                mTcpChannel = server.channel();
                mUdpChannel = datagrams.channel();
                return bound.getPort();
            }
            server.channel().close().syncUninterruptibly();
        }
        close();
        String remedy =
                failure instanceof BindException
                        ? "it is in use or not an address of this VM; stop the other process or"
                                + " change controlAddress in the settings"
                        : String.valueOf(failure);
        throw new MeshStartException(address, remedy, failure);
    }

    /** Sends a message; a message that does not fit into a datagram goes over TCP. */
    void send(String address, byte[] message, Transport transport) {
        Optional<InetSocketAddress> target = Address.parse(address);
        if (target.isEmpty() || target.get().getPort() == 0) {
            mCounters.mUnreachable.increment();
            return;
        }
        if (message.length > FrameDecoder.MAX_FRAME_BYTES) {
            mCounters.mOversized.increment();
            return;
        }
        if (transport == Transport.TCP || message.length > UdpHandler.MAX_BYTES) {
            mTcpSender.send(target.get(), message);
            return;
        }
        if (!mUdpChannel.isWritable()) {
            mCounters.mOverflowed.increment();
            return;
        }
        mCounters.recordSent(message.length);
        mUdpChannel
                .writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(message), target.get()))
                .addListener(
                        w -> {
                            if (!w.isSuccess()) {
                                mCounters.mUnreachable.increment();
                            }
                        });
    }

    void close() {
        if (mUdpChannel != null) {
            mUdpChannel.close().awaitUninterruptibly(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
            mTcpChannel.close().awaitUninterruptibly(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        }
        mGroup.shutdownGracefully(0, CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .awaitUninterruptibly(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private ChannelFuture bindTcp(InetSocketAddress address, TcpServer server) {
        return new ServerBootstrap()
                .group(mGroup)
                .channel(NioServerSocketChannel.class)
                .childHandler(server)
                .bind(address)
                .awaitUninterruptibly();
    }

    private ChannelFuture bindUdp(InetSocketAddress address, UdpHandler handler) {
        return new Bootstrap()
                .group(mGroup)
                .channel(NioDatagramChannel.class)
                .option(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new FixedRecvByteBufAllocator(RECEIVE_BUFFER_BYTES))
                .handler(handler)
                .bind(address)
                .awaitUninterruptibly();
    }
}
