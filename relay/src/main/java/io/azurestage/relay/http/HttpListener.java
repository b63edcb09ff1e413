package io.azurestage.relay.http;

import io.azurestage.core.route.RequestLimits;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;

/** A listening port for HTTP/1.1 requests. */
public final class HttpListener {
    /** Connections that wait to be accepted; a full queue delays callers by seconds. */
    private static final int BACKLOG = 1_024;

    private final Channel mChannel;
    private final Set<InboundConnection> mConnections;

    /** Read for each new connection: those that come during a drain take one request, too. */
    private final AtomicBoolean mDraining;

    private HttpListener(
            Channel channel, Set<InboundConnection> connections, AtomicBoolean draining) {
        mChannel = channel;
        mConnections = connections;
        mDraining = draining;
    }

    /**
     * Opens a port.
     *
     * @param group the single event loop
     * @param address where to listen
     * @param limits bounds in force when a connection is accepted
     * @param handler answers the requests
     * @return the listener
     * @throws IllegalStateException if the port cannot be opened; another process may use it
     */
    public static HttpListener open(
            EventLoopGroup group,
            InetSocketAddress address,
            Supplier<RequestLimits> limits,
            RequestHandler handler) {
        Set<InboundConnection> connections = new HashSet<>();
        AtomicBoolean draining = new AtomicBoolean();
        ChannelInitializer<Channel> initializer =
                new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        RequestLimits now = limits.get();
                        HeadTimer timer = new HeadTimer(now.headerTimeout());
                        InboundConnection c =
                                new InboundConnection(now, timer, handler, connections);
                        if (draining.get()) {
                            c.drain();
                        }
                        HttpDecoderConfig config =
                                new HttpDecoderConfig()
                                        .setMaxInitialLineLength(now.maxHeaderBytes())
                                        .setMaxHeaderSize(now.maxHeaderBytes());
                        ch.pipeline()
                                .addLast(timer)
                                .addLast(new HttpServerCodec(config))
                                .addLast(c);
                    }
                };
        ChannelFuture bound =
                new ServerBootstrap()
                        .group(group)
                        .channel(Sockets.server())
                        .option(ChannelOption.SO_BACKLOG, BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
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
     * Returns the port.
     *
     * @return the number of the open port
     */
    public int port() {
        return ((InetSocketAddress) mChannel.localAddress()).getPort();
    }

    /** Lets each connection end after its next answer. Call it on the event loop. */
    public void drain() {
        mDraining.set(true);
        mConnections.forEach(InboundConnection::drain);
    }

    /** Closes the port and the connections without a request. Call it on the event loop. */
    public void close() {
        mChannel.close();
        List.copyOf(mConnections).forEach(InboundConnection::closeIfIdle);
    }
}
