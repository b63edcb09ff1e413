package io.azurestage.relay.http;

import io.azurestage.core.memory.MemoryAccount;
import io.azurestage.core.time.TimeSource;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Pool of connections to one server, each with one request at a time. All methods must be called on
 * the event loop, which also delivers the results.
 */
public final class HttpPool {
    /** Interval between checks for idle connections that have expired. */
    private static final long EXPIRY_CHECK_MILLIS = 300;

    private final EventLoop mLoop;
    private final TimeSource mTime;
    private final InetSocketAddress mAddress;
    private final Bootstrap mBootstrap;
    private final Deque<OutboundConnection> mIdle = new ArrayDeque<>();
    private final ResponseBufferBudget mBufferBudget;
    private final Set<Channel> mOpenChannels = new HashSet<>();
    private boolean mClosed;
    private boolean mExpiryScheduled;

    /**
     * Creates an empty pool.
     *
     * @param loop event loop that runs the connections
     * @param time clock for idle times
     * @param address address of the server
     * @param connectTimeout timeout for new connections
     */
    public HttpPool(
            EventLoop loop, TimeSource time, InetSocketAddress address, Duration connectTimeout) {
        this(loop, time, address, connectTimeout, MemoryAccount.unlimited());
    }

    /**
     * Creates an empty pool that counts incomplete responses.
     *
     * @param loop event loop that runs the connections
     * @param time clock for idle times
     * @param address address of the server
     * @param connectTimeout timeout for new connections
     * @param memory account for incomplete responses
     */
    public HttpPool(
            EventLoop loop,
            TimeSource time,
            InetSocketAddress address,
            Duration connectTimeout,
            MemoryAccount memory) {
        mBufferBudget = new ResponseBufferBudget(memory);
        mLoop = loop;
        mTime = time;
        mAddress = address;
        mBootstrap =
                new Bootstrap()
                        .group(loop)
                        .channel(Sockets.client())
                        .option(
                                ChannelOption.CONNECT_TIMEOUT_MILLIS,
                                (int) connectTimeout.toMillis())
                        .option(ChannelOption.TCP_NODELAY, true)
                        // Reports the end of the stream apart from the end of the connection.
                        .option(ChannelOption.ALLOW_HALF_CLOSURE, true);
    }

    /**
     * Sends a request on an idle connection or on a new one.
     *
     * @param request the request
     * @param done receives the result once, unless the request is cancelled
     * @return a handle that cancels the request
     */
    public OutboundCall send(OutboundRequest request, Consumer<OutboundResult> done) {
        OutboundCall call = new OutboundCall(request, done);
        call.startTimer(mLoop, request.timeout());
        OutboundConnection idle = takeIdle(request.freshOnly());
        if (idle != null) {
            idle.send(call);
        } else {
            connect(call);
        }
        return call;
    }

    /** Closes the idle connections, so that the next request opens a new one. */
    public void closeIdle() {
        mIdle.forEach(OutboundConnection::close);
        mIdle.clear();
    }

    /** Closes all connections; requests in progress end without a response. */
    public void close() {
        mClosed = true;
        Set.copyOf(mOpenChannels).forEach(Channel::close);
    }

    long bufferedBytes() {
        return mBufferBudget.totalBytes();
    }

    private OutboundConnection takeIdle(boolean freshOnly) {
        long now = mTime.nanos();
        Iterator<OutboundConnection> newestFirst = mIdle.descendingIterator();
        while (newestFirst.hasNext()) {
            OutboundConnection c = newestFirst.next();
            if (!c.isOpen() || c.isExpired(now)) {
                newestFirst.remove();
                c.close();
            } else if (!freshOnly || c.isFresh(now)) {
                newestFirst.remove();
                return c;
            }
        }
        return null;
    }

    private void connect(OutboundCall call) {
        OutboundConnection connection =
                new OutboundConnection(this::onIdle, this::onSilent, mBufferBudget);
        Bootstrap bootstrap =
                mBootstrap
                        .clone()
                        .handler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel ch) {
                                        connection.addTo(ch.pipeline());
                                    }
                                });
        ChannelFuture connecting = bootstrap.connect(mAddress);
        Channel channel = connecting.channel();
        mOpenChannels.add(channel);
        channel.closeFuture().addListener(f -> mOpenChannels.remove(channel));
        call.connectingOn(channel);
        connecting.addListener(
                f -> {
                    if (!f.isSuccess()) {
                        call.notSent("no connection to " + mAddress + ": " + f.cause());
                    } else if (call.isDone()) {
                        onIdle(connection);
                    } else {
                        connection.send(call);
                    }
                });
    }

    private void onIdle(OutboundConnection c) {
        if (mClosed || !c.isOpen()) {
            c.close();
            return;
        }
        c.setIdleSince(mTime.nanos());
        mIdle.addLast(c);
        if (!mExpiryScheduled) {
            mExpiryScheduled = true;
            mLoop.schedule(this::closeExpired, EXPIRY_CHECK_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Closes the idle connections that have not been used for longer than one that did not answer:
     * what silenced it, such as a firewall that forgets idle connections, may have silenced them.
     */
    private void onSilent(OutboundConnection silent) {
        mIdle.removeIf(
                c -> {
                    boolean suspect = c.idleSinceNanos() - silent.idleSinceNanos() <= 0;
                    if (suspect) {
                        c.close();
                    }
                    return suspect;
                });
    }

    /** Uses one timer for all connections, since a timer per use would wake the loop each time. */
    private void closeExpired() {
        long now = mTime.nanos();
        mIdle.removeIf(
                c -> {
                    boolean expired = !c.isOpen() || c.isExpired(now);
                    if (expired) {
                        c.close();
                    }
                    return expired;
                });
        mExpiryScheduled = !mIdle.isEmpty();
        if (mExpiryScheduled) {
            mLoop.schedule(this::closeExpired, EXPIRY_CHECK_MILLIS, TimeUnit.MILLISECONDS);
        }
    }
}
