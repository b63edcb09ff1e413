package io.azurestage.relay.http;

import io.azurestage.core.memory.DescriptorLimit;
import io.azurestage.core.route.RequestLimits;
import io.azurestage.core.time.TimeSource;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.stream.ChunkedWriteHandler;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;

/** A server socket for HTTP/1.1 requests. */
public final class HttpListener {
    /** Length of the accept queue; when it is full, clients are delayed by seconds. */
    private static final int BACKLOG = 1_024;

    /** Largest buffer for a read, which an incomplete head keeps whatever its length. */
    private static final int MAX_READ_BYTES = 16 << 10;

    private final Channel mChannel;
    private final Set<InboundConnection> mConnections;

    /** Read for each new connection, since one accepted during a drain serves one request only. */
    private final AtomicBoolean mDraining;

    private HttpListener(
            Channel channel, Set<InboundConnection> connections, AtomicBoolean draining) {
        mChannel = channel;
        mConnections = connections;
        mDraining = draining;
    }

    /**
     * Starts to listen.
     *
     * @param group group of the single event loop
     * @param address local address to listen on
     * @param limits limits that are read when a connection is accepted
     * @param handler handles the requests
     * @return the listener
     * @throws IllegalStateException if the address cannot be bound, for instance because another
     *     process uses the port
     */
    public static HttpListener open(
            EventLoopGroup group,
            InetSocketAddress address,
            Supplier<RequestLimits> limits,
            RequestHandler handler) {
        return open(
                group,
                address,
                limits,
                handler,
                ClientGuard.of(
                        DescriptorLimit.ofProcess(), "", TimeSource.system(), Optional.empty()));
    }

    /**
     * Starts to listen, with bounds on clients that other listeners share.
     *
     * @param group group of the single event loop
     * @param address local address to listen on
     * @param limits limits that are read when a connection is accepted
     * @param handler handles the requests
     * @param guard bounds what clients occupy
     * @return the listener
     * @throws IllegalStateException if the address cannot be bound, for instance because another
     *     process uses the port
     */
    public static HttpListener open(
            EventLoopGroup group,
            InetSocketAddress address,
            Supplier<RequestLimits> limits,
            RequestHandler handler,
            ClientGuard guard) {
        Set<InboundConnection> connections = new HashSet<>();
        AtomicBoolean draining = new AtomicBoolean();
        ChannelInitializer<Channel> initializer =
                new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        RequestLimits current = limits.get();
                        RequestHeadTimer timer = new RequestHeadTimer(current.headerTimeout());
                        HttpDecoderConfig config =
                                new HttpDecoderConfig()
                                        .setMaxInitialLineLength(current.maxHeaderBytes())
                                        .setMaxHeaderSize(current.maxHeaderBytes());
                        RequestDecoder decoder = new RequestDecoder(config);
                        ReplyEncoder encoder = new ReplyEncoder();
                        InboundConnection connection =
                                new InboundConnection(
                                        current,
                                        timer,
                                        decoder,
                                        encoder,
                                        handler,
                                        guard,
                                        connections);
                        if (draining.get()) {
                            connection.drain();
                        }
                        ch.pipeline()
                                .addLast(new ReadMeter(connection))
                                .addLast(timer)
                                .addLast(decoder)
                                .addLast(encoder)
                                .addLast(new ChunkedWriteHandler())
                                .addLast(connection);
                    }
                };
        ChannelFuture bound =
                new ServerBootstrap()
                        .group(group)
                        .channel(Sockets.server())
                        .option(ChannelOption.SO_BACKLOG, BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .option(ChannelOption.SO_RCVBUF, Sockets.BUFFER_BYTES)
                        .childOption(ChannelOption.SO_SNDBUF, Sockets.BUFFER_BYTES)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(
                                ChannelOption.RECVBUF_ALLOCATOR,
                                Sockets.receiveBuffers(MAX_READ_BYTES))
                        .childHandler(initializer)
                        .bind(address)
                        .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IllegalStateException(
                    "cannot listen on " + address + ": " + bound.cause().getMessage(),
                    bound.cause());
        }
        return new HttpListener(bound.channel(), connections, draining);
    }

    /**
     * Returns the port that this listener is bound to.
     *
     * @return the local port number
     */
    public int port() {
        return ((InetSocketAddress) mChannel.localAddress()).getPort();
    }

    /**
     * Returns the number of connections with a request that is handled or a response that is not
     * written completely. Call it on the event loop.
     *
     * @return a count of connections
     */
    public int busyConnections() {
        return (int) mConnections.stream().filter(InboundConnection::isBusy).count();
    }

    /** Closes each connection after its next response. Call it on the event loop. */
    public void drain() {
        mDraining.set(true);
        mConnections.forEach(InboundConnection::drain);
    }

    /** Stops listening and closes the idle connections. Call it on the event loop. */
    public void close() {
        mChannel.close();
        List.copyOf(mConnections).forEach(InboundConnection::closeIfIdle);
    }
}
