package io.azurestage.relay.link;

import io.azurestage.core.backend.BackendServer;
import io.azurestage.core.context.NodeIdentity;
import io.azurestage.core.memory.MemoryAccount;
import io.azurestage.core.quota.QuotaGrant;
import io.azurestage.core.quota.QuotaReport;
import io.azurestage.core.time.PauseDetector;
import io.azurestage.core.time.TimeSource;
import io.azurestage.relay.call.CallTarget;
import io.azurestage.relay.http.Sockets;
import io.azurestage.relay.http.UnexpectedErrors;
import io.azurestage.wire.generated.link.LinkMessage;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Accepts links of peers and passes their calls to this node's backend server. */
public final class LinkServer {
    /** Time after which the calls of a disconnected peer are discarded. */
    private static final long PEER_EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final TimeSource mTime;
    private final PauseDetector mPauses;
    private final LinkSelf mSelf;
    private final CallTarget mTarget;
    private final MemoryAccount mMemory;
    private final Map<NodeIdentity, IncomingCalls> mCallsByPeer = new HashMap<>();
    private Channel mChannel;

    /**
     * Creates a server that does not listen yet.
     *
     * @param time clock for all timeouts
     * @param pauses reports whether this node has just paused; its owner runs its tick
     * @param self this node's identity and configuration
     * @param target executes the calls
     */
    public LinkServer(TimeSource time, PauseDetector pauses, LinkSelf self, CallTarget target) {
        this(time, pauses, self, target, MemoryAccount.unlimited());
    }

    /**
     * Creates a server that does not listen yet, and counts the bodies of calls.
     *
     * @param time clock for all timeouts
     * @param pauses reports whether this node has just paused; its owner runs its tick
     * @param self this node's identity and configuration
     * @param target executes the calls
     * @param memory account for the bodies of calls, and of answers that wait for their transfer
     */
    public LinkServer(
            TimeSource time,
            PauseDetector pauses,
            LinkSelf self,
            CallTarget target,
            MemoryAccount memory) {
        mMemory = memory;
        mTime = time;
        mPauses = pauses;
        mSelf = self;
        mTarget = target;
    }

    /**
     * Starts to listen.
     *
     * @param group group of the single event loop
     * @param address local address to listen on
     * @throws IllegalStateException if the address cannot be bound, for instance because another
     *     process uses the port
     */
    public void open(EventLoopGroup group, InetSocketAddress address) {
        ChannelFuture bound =
                new ServerBootstrap()
                        .group(group)
                        .channel(Sockets.server())
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(ChannelOption.RECVBUF_ALLOCATOR, Sockets.receiveBuffers())
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel ch) {
                                        LinkPipeline.add(ch.pipeline(), new Handler());
                                    }
                                })
                        .bind(address)
                        .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IllegalStateException(
                    "cannot listen on " + address + ": " + bound.cause().getMessage(),
                    bound.cause());
        }
        mChannel = bound.channel();
    }

    /**
     * Returns the port that this server listens on.
     *
     * @return the local port number
     */
    public int port() {
        return ((InetSocketAddress) mChannel.localAddress()).getPort();
    }

    /** Discards the state of peers that stay disconnected. Call it every 100 ms. */
    public void tick() {
        long now = mTime.nanos();
        mCallsByPeer.values().removeIf(p -> p.isExpired(now, PEER_EXPIRY_NANOS));
        mCallsByPeer.values().forEach(p -> p.tick(now));
    }

    /**
     * Returns the number of results that peers have not taken yet.
     *
     * @return a count of messages and bodies
     */
    public int unwritten() {
        return mCallsByPeer.values().stream().mapToInt(IncomingCalls::unwritten).sum();
    }

    /** Stops listening; open connections stay. */
    public void close() {
        mChannel.close();
    }

    /** Last handler of a peer's connection. */
    private final class Handler extends SimpleChannelInboundHandler<LinkMessage> {
        private ConfigExchange mExchange;
        private IncomingCalls mCalls;
        private String mPeerId;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            mExchange = new ConfigExchange(mSelf, ctx::writeAndFlush);
            ctx.writeAndFlush(mSelf.hello());
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, LinkMessage m) {
            if (mExchange.accept(m)) {
                return;
            }
            if (m.hasHello()) {
                NodeIdentity peer =
                        new NodeIdentity(m.getHello().getNodeId(), m.getHello().getIncarnation());
                mPeerId = peer.nodeId();
                mCalls =
                        mCallsByPeer.computeIfAbsent(
                                peer, p -> new IncomingCalls(mTime, mPauses, mTarget, mMemory));
                mCalls.connected(ctx.channel());
                mExchange.fetchIfNewer(m.getHello().getConfigVersion());
            } else if (m.hasQuotaReports() && mPeerId != null) {
                List<QuotaReport> reports = QuotaMessages.toReports(m.getQuotaReports());
                List<QuotaGrant> grants = mSelf.quotas().onReports(mPeerId, reports);
                if (!grants.isEmpty()) {
                    ctx.writeAndFlush(QuotaMessages.ofGrants(grants));
                }
            } else if (m.hasServerLeft() && mPeerId != null) {
                long startedAtMillis = m.getServerLeft().getStartedAtMillis();
                BackendServer.checkStart(startedAtMillis);
                mSelf.leaves().left(m.getServerLeft().getServerId(), startedAtMillis);
            } else if (mCalls != null) {
                mCalls.accept(ctx.channel(), m);
            } else {
                // Without the peer's identity, new calls cannot be distinguished from duplicates.
                ctx.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (mCalls != null) {
                mCalls.disconnected(ctx.channel());
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            UnexpectedErrors.log(cause);
            ctx.close();
        }
    }
}
