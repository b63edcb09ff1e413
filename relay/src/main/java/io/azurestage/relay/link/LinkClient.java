package io.azurestage.relay.link;

import io.azurestage.core.memory.MemoryAccount;
import io.azurestage.core.quota.QuotaReport;
import io.azurestage.core.time.TimeSource;
import io.azurestage.relay.call.CallHandle;
import io.azurestage.relay.call.CallListener;
import io.azurestage.relay.call.CallResult;
import io.azurestage.relay.call.CallSpec;
import io.azurestage.relay.call.CallTarget;
import io.azurestage.relay.http.BodyInput;
import io.azurestage.relay.http.Sockets;
import io.azurestage.relay.http.UnexpectedErrors;
import io.azurestage.wire.generated.link.CallCancel;
import io.azurestage.wire.generated.link.CallQuery;
import io.azurestage.wire.generated.link.Hello;
import io.azurestage.wire.generated.link.LinkMessage;
import io.azurestage.wire.generated.link.ServerLeft;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Sends calls to the node at one address. When the connection breaks or stops responding, a new one
 * is opened and the peer is queried for the calls in progress, so that the loss of a connection
 * alone loses no response. Not thread-safe; use it on the event loop only.
 */
public final class LinkClient implements CallTarget {
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(700);

    /** Time without messages before a link with calls is probed: several usual response times. */
    private static final long PROBE_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    /** Time without a reply to a probe before a link is closed: well above a busy node's pauses. */
    private static final long PROBE_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(900);

    /** Probe interval of a link without calls, which only exchanges configuration versions. */
    private static final long IDLE_PROBE_AFTER_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** Longest time that a call waits for a connection before it is retried on another node. */
    private static final long UNSENT_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    /** Longest wait for the peer's first message on a new connection. */
    private static final long HELLO_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

    /** Longest time that idempotent calls wait for a new connection to the peer. */
    private static final long RESUME_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    private static final long RECONNECT_DELAY_MILLIS = 150;

    private final EventLoop mLoop;
    private final TimeSource mTime;
    private final InetSocketAddress mAddress;
    private final LinkSelf mSelf;
    private final LinkStateListener mStateListener;
    private final MemoryAccount mMemory;
    private final Map<Long, RemoteCall> mCalls = new LinkedHashMap<>();
    private final List<RemoteCall> mUnsent = new ArrayList<>();
    private final ConfigExchange mExchange;
    private final Consumer<LinkMessage> mOut = this::write;
    private Channel mChannel;
    private boolean mConnecting;
    private boolean mUp;

    /** Whether the peer may not know yet which configuration is in force here. */
    private boolean mAnnouncing;

    private boolean mClosed;
    private long mPeerIncarnation;
    private long mLastReceivedNanos;
    private long mLastProbeNanos;
    private long mLostNanos;

    /**
     * Creates a link that connects when it is first used.
     *
     * @param loop event loop that runs the link
     * @param time clock for all timeouts
     * @param address the peer's link address
     * @param self this node's identity and configuration
     * @param stateListener called when the link comes up or goes down
     */
    public LinkClient(
            EventLoop loop,
            TimeSource time,
            InetSocketAddress address,
            LinkSelf self,
            LinkStateListener stateListener) {
        this(loop, time, address, self, stateListener, MemoryAccount.unlimited());
    }

    /**
     * Creates a link that connects when it is first used, and counts incomplete answers.
     *
     * @param loop event loop that runs the link
     * @param time clock for all timeouts
     * @param address the peer's link address
     * @param self this node's identity and configuration
     * @param stateListener called when the link comes up or goes down
     * @param memory account for incomplete answers
     */
    public LinkClient(
            EventLoop loop,
            TimeSource time,
            InetSocketAddress address,
            LinkSelf self,
            LinkStateListener stateListener,
            MemoryAccount memory) {
        mMemory = memory;
        mLoop = loop;
        mTime = time;
        mAddress = address;
        mSelf = self;
        mStateListener = stateListener;
        mExchange = new ConfigExchange(self, mOut);
    }

    @Override
    public CallHandle start(CallSpec spec, CallListener listener) {
        long id = mSelf.callIds().getAsLong();
        RemoteCall call = new RemoteCall(this, id, spec, listener, mTime.nanos());
        mCalls.put(call.id(), call);
        if (isUp()) {
            send(call);
        } else {
            mUnsent.add(call);
            connect();
        }
        return call;
    }

    /**
     * Sends quota reports. Without a connection they are dropped and one is opened: the totals in
     * later reports include theirs.
     *
     * @param reports reports for the partners that the peer owns
     */
    public void sendReports(List<QuotaReport> reports) {
        if (isUp()) {
            write(QuotaMessages.ofReports(reports));
        } else {
            connect();
        }
    }

    /**
     * Announces to the peer which configuration is in force here, as the first message does. If the
     * connection turns out to be silent, the announcement is repeated over a new one.
     */
    public void announceVersion() {
        if (isUp()) {
            mAnnouncing = true;
            write(mExchange.newProbe());
        } else {
            connect();
        }
    }

    /**
     * Notifies the peer that an earlier process of it has acknowledged that a server leaves.
     * Without a connection one is opened, and the caller is to repeat this.
     *
     * @param serverId id of the server
     * @param startedAtMillis start time of its incarnation, epoch milliseconds
     */
    public void sendServerLeft(String serverId, long startedAtMillis) {
        if (!isUp()) {
            connect();
            return;
        }
        ServerLeft left =
                ServerLeft.newBuilder()
                        .setServerId(serverId)
                        .setStartedAtMillis(startedAtMillis)
                        .build();
        write(LinkMessage.newBuilder().setServerLeft(left).build());
    }

    /** Opens a connection unless there is one. */
    public void connect() {
        if (mClosed || mConnecting || mChannel != null) {
            return;
        }
        mConnecting = true;
        ChannelFuture connecting =
                new Bootstrap()
                        .group(mLoop)
                        .channel(Sockets.client())
                        .option(
                                ChannelOption.CONNECT_TIMEOUT_MILLIS,
                                (int) CONNECT_TIMEOUT.toMillis())
                        .option(ChannelOption.TCP_NODELAY, true)
                        .handler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel ch) {
                                        LinkPipeline.add(ch.pipeline(), new Handler());
                                    }
                                })
                        .connect(mAddress);
        connecting.addListener(
                f -> {
                    mConnecting = false;
                    if (f.isSuccess()) {
                        onConnected(connecting.channel());
                    } else {
                        onConnectFailed(f.cause());
                    }
                });
    }

    /**
     * Reports whether the link is up.
     *
     * @return whether the peer has sent its hello on the current connection
     */
    public boolean isUp() {
        return mUp;
    }

    /**
     * Returns the number of calls in progress.
     *
     * @return a count that includes calls not sent yet
     */
    public int calls() {
        return mCalls.size();
    }

    /** Probes a link without messages and fails calls that have timed out. Call it every 100 ms. */
    public void tick() {
        long now = mTime.nanos();
        failOverdueUnsent(now);
        if (isUp()) {
            probe(now);
        } else if (mChannel != null && now - mLastReceivedNanos > HELLO_TIMEOUT_NANOS) {
            mChannel.close();
            onDisconnected("no first message of the node");
        }
        if (!isUp() && mLostNanos != 0 && now - mLostNanos > RESUME_TIMEOUT_NANOS) {
            failIdempotent("the connection to the node was lost");
        }
    }

    /** Closes the link; calls in progress end without a response. */
    public void close() {
        mClosed = true;
        failAll("the link was closed");
        if (mChannel != null) {
            mChannel.close();
        }
    }

    private void failOverdueUnsent(long now) {
        if (mUnsent.isEmpty()) {
            return;
        }
        List<RemoteCall> overdue =
                mUnsent.stream()
                        .filter(c -> now - c.startedNanos() > UNSENT_TIMEOUT_NANOS)
                        .toList();
        mUnsent.removeAll(overdue);
        String reason = "no connection to the node in time";
        overdue.forEach(c -> finish(c, new CallResult.NotRun(reason, Duration.ZERO, true)));
    }

    private void probe(long now) {
        long idleNanos = now - mLastReceivedNanos;
        long probeAfterNanos = mCalls.isEmpty() ? IDLE_PROBE_AFTER_NANOS : PROBE_AFTER_NANOS;
        if (mLastProbeNanos != 0 && mLastProbeNanos - mLastReceivedNanos > 0) {
            if (now - mLastProbeNanos > PROBE_TIMEOUT_NANOS) {
                mChannel.close();
                onDisconnected("silent for " + TimeUnit.NANOSECONDS.toMillis(idleNanos) + " ms");
            }
        } else if (idleNanos > probeAfterNanos) {
            mLastProbeNanos = now;
            write(mExchange.newProbe());
        }
    }

    private void onConnected(Channel channel) {
        if (mClosed) {
            channel.close();
            return;
        }
        mChannel = channel;
        mLastReceivedNanos = mTime.nanos();
        mLastProbeNanos = 0;
        write(mSelf.hello());
    }

    /** Resumes the calls in progress, unless the peer's incarnation shows that it has restarted. */
    private void onHello(Hello hello) {
        boolean restarted = mPeerIncarnation != 0 && mPeerIncarnation != hello.getIncarnation();
        mPeerIncarnation = hello.getIncarnation();
        mUp = true;
        mLostNanos = 0;
        mStateListener.onStateChanged(mAddress.toString(), true, "connected");
        mExchange.fetchIfNewer(hello.getConfigVersion());
        if (restarted) {
            sentCalls().forEach(c -> finish(c, new CallResult.MaybeRun("the node restarted")));
        }
        // Calls that have ended here while the link was down are not named, and so end at the peer.
        CallQuery.Builder query = CallQuery.newBuilder().setComplete(true);
        sentCalls().forEach(c -> query.addCallId(c.id()));
        write(LinkMessage.newBuilder().setQuery(query).build());
        List<RemoteCall> unsent = List.copyOf(mUnsent);
        mUnsent.clear();
        unsent.stream().filter(c -> mCalls.containsKey(c.id())).forEach(this::send);
    }

    private List<RemoteCall> sentCalls() {
        return mCalls.values().stream().filter(RemoteCall::isSent).toList();
    }

    private void onConnectFailed(Throwable cause) {
        failUnsent("no connection to the node: " + cause.getMessage());
        if (cause instanceof ConnectException && !isTimeout(cause)) {
            failAll("the node's process has ended");
        }
        scheduleReconnect();
    }

    private static boolean isTimeout(Throwable cause) {
        return cause instanceof io.netty.channel.ConnectTimeoutException;
    }

    private void scheduleReconnect() {
        if (!mCalls.isEmpty() && !mClosed) {
            mLoop.schedule(this::connect, RECONNECT_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void onDisconnected(String reason) {
        if (mChannel == null) {
            return;
        }
        boolean wasUp = mUp;
        mUp = false;
        mChannel = null;
        if (mLostNanos == 0) {
            mLostNanos = mTime.nanos();
        }
        if (wasUp) {
            mStateListener.onStateChanged(mAddress.toString(), false, reason);
        }
        connectIfNeeded();
    }

    private void connectIfNeeded() {
        if (!mCalls.isEmpty() || mAnnouncing) {
            mAnnouncing = false;
            connect();
        }
    }

    private void failUnsent(String reason) {
        List<RemoteCall> unsent = List.copyOf(mUnsent);
        mUnsent.clear();
        unsent.forEach(c -> finish(c, new CallResult.NotRun(reason, Duration.ZERO, true)));
    }

    /**
     * Fails idempotent calls. The others wait until their deadline: they must not be run by another
     * node, and a peer that was only unresponsive still has their results.
     */
    private void failIdempotent(String reason) {
        List<RemoteCall> idempotent =
                mCalls.values().stream().filter(c -> c.isSent() && c.spec().idempotent()).toList();
        idempotent.forEach(c -> finish(c, new CallResult.MaybeRun(reason)));
    }

    private void failAll(String reason) {
        failUnsent(reason);
        List.copyOf(mCalls.values()).forEach(c -> finish(c, new CallResult.MaybeRun(reason)));
    }

    private void send(RemoteCall call) {
        call.markSent();
        write(CallMessages.start(call.id(), call.spec(), mTime.nanos()));
        if (BodyChunks.hasMore(call.spec().body())) {
            BodyInput<LinkMessage> rest = BodyChunks.rest(call.id(), call.spec().body(), () -> {});
            call.setUnsentBody(rest);
            write(rest);
        }
    }

    /** Removes a call that its initiator has cancelled, and cancels it at the peer. */
    void cancel(RemoteCall call) {
        if (mCalls.remove(call.id()) == null) {
            return;
        }
        mUnsent.remove(call);
        call.release();
        if (call.isSent() && isUp()) {
            CallCancel cancel = CallCancel.newBuilder().setCallId(call.id()).build();
            write(LinkMessage.newBuilder().setCancel(cancel).build());
        }
    }

    private void finish(RemoteCall call, CallResult result) {
        if (mCalls.remove(call.id()) != null) {
            call.release();
            call.done(result);
        }
    }

    /** Ends a call whose answer is not wanted any more, and cancels it at the peer. */
    void abort(RemoteCall call, String reason) {
        if (mCalls.containsKey(call.id())) {
            cancel(call);
            call.done(new CallResult.MaybeRun(reason));
        }
    }

    MemoryAccount memory() {
        return mMemory;
    }

    /** Writes a message or a body. A peer that may miss a part is queried on a new connection. */
    private void write(Object message) {
        if (mChannel != null) {
            mChannel.writeAndFlush(message).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
        }
    }

    private void onMessage(LinkMessage m) {
        mLastReceivedNanos = mTime.nanos();
        if (m.hasProbeReply()) {
            mAnnouncing = false;
        }
        if (mExchange.accept(m)) {
            return;
        }
        switch (m.getBodyCase()) {
            case HELLO -> onHello(m.getHello());
            case ANSWER -> onAnswer(m);
            case DATA -> onData(m);
            case QUOTA_GRANTS ->
                    mSelf.quotas().onGrants(QuotaMessages.toGrants(m.getQuotaGrants()));
            case END -> {
                RemoteCall call = mCalls.get(m.getEnd().getCallId());
                if (call != null) {
                    call.setLoad(CallMessages.toLoadReport(m.getEnd().getLoad()));
                    finish(call, CallMessages.toCallResult(m.getEnd()));
                }
            }
            default -> {}
        }
    }

    private void onAnswer(LinkMessage m) {
        RemoteCall call = mCalls.get(m.getAnswer().getCallId());
        if (call == null) {
            return;
        }
        call.setLoad(CallMessages.toLoadReport(m.getAnswer().getLoad()));
        call.onAnswer(m.getAnswer());
        if (!m.getAnswer().getMore()) {
            finish(call, call.toResult());
        }
    }

    private void onData(LinkMessage m) {
        RemoteCall call = mCalls.get(m.getData().getCallId());
        if (call != null && call.onData(m.getData()) && m.getData().getLast()) {
            finish(call, call.toResult());
        }
    }

    /** Last handler of the connection's pipeline. */
    private final class Handler extends SimpleChannelInboundHandler<LinkMessage> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, LinkMessage m) {
            if (ctx.channel() == mChannel) {
                onMessage(m);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (ctx.channel() == mChannel) {
                onDisconnected("closed");
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            UnexpectedErrors.log(cause);
            ctx.close();
        }
    }
}
