package io.azurestage.relay.http;

import io.azurestage.core.memory.Holding;
import io.azurestage.core.route.RequestLimits;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * A client's connection. It keeps reading while a request is handled, so that a disconnect of the
 * client is noticed at once; pipelined requests wait until the current response is written. A
 * request is handled after everything that was received with it has been read, and is dropped if
 * that includes the end of the connection. What it holds is counted in the {@link ClientGuard},
 * which may end it.
 */
final class InboundConnection extends ChannelInboundHandlerAdapter {
    /** Largest number of bytes behind a running request before reading is suspended. */
    private static final int MAX_AHEAD_BYTES = 16 << 10;

    /** Estimated memory of an idle connection. */
    private static final int CONNECTION_BYTES = 4 << 10;

    private static final Field RETRY_AFTER = new Field("Retry-After", "1");

    private final RequestLimits mLimits;
    private final RequestHeadTimer mHeadTimer;
    private final RequestDecoder mDecoder;
    private final ReplyEncoder mEncoder;
    private final RequestHandler mHandler;
    private final ClientGuard mGuard;
    private final Set<InboundConnection> mOpenConnections;
    private final IdleTimer mIdleTimer;
    private ChannelHandlerContext mContext;
    private Holding mHolding;
    private IncompleteRequest mIncoming;
    private CurrentExchange mCurrent;
    private ScheduledFuture<?> mRest;
    private long mRequestSinceNanos;
    private long mSpentNanos;
    private long mAnswerBytes;
    private boolean mStarted;
    private boolean mAnswering;
    private boolean mDraining;
    private boolean mCloseAfterAnswer;
    private boolean mClosing;

    InboundConnection(
            RequestLimits limits,
            RequestHeadTimer headTimer,
            RequestDecoder decoder,
            ReplyEncoder encoder,
            RequestHandler handler,
            ClientGuard guard,
            Set<InboundConnection> openConnections) {
        mLimits = limits;
        mHeadTimer = headTimer;
        mDecoder = decoder;
        mEncoder = encoder;
        mHandler = handler;
        mGuard = guard;
        mOpenConnections = openConnections;
        mIdleTimer = new IdleTimer(limits.idleTimeout(), this::onIdle);
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        mContext = ctx;
        mOpenConnections.add(this);
        mHolding = mGuard.memory().open(() -> end("memory"));
        mIdleTimer.start(ctx.executor());
        mGuard.opened(this);
        updateHolding();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        mOpenConnections.remove(this);
        mGuard.closed(this);
        mHolding.close();
        mClosing = true;
        mIdleTimer.cancel();
        if (mRest != null) {
            mRest.cancel(false);
        }
        endBody();
        if (mCurrent != null) {
            mCurrent.onDisconnect();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        UnexpectedErrors.log(cause);
        ctx.close();
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event == RequestHeadTimer.HEAD_TIMEOUT && !hasRequest()) {
            reject(HttpResponseStatus.REQUEST_TIMEOUT, "the request head took too long");
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            if (mClosing || isBusy()) {
                return;
            }
            if (message instanceof HttpRequest r) {
                onHead(r);
            }
            if (message instanceof HttpContent c && mIncoming != null) {
                onContent(c);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    /** The client takes bytes of the response. */
    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        mIdleTimer.progress();
        ctx.fireChannelWritabilityChanged();
    }

    boolean isClosing() {
        return mClosing;
    }

    /** Handles the end of a read, after its bytes have been decoded. */
    void bytesRead(long spentNanos) {
        if (mClosing) {
            return;
        }
        if (!mStarted && (mDecoder.undecodedBytes() > 0 || mIncoming != null || mCurrent != null)) {
            mStarted = true;
            mRequestSinceNanos = mIdleTimer.nanos();
            mHolding.restart();
        }
        if (mIncoming != null) {
            mIdleTimer.progress();
            rest(spentNanos);
        }
        updateHolding();
        updateReading();
    }

    private void rest(long spentNanos) {
        mSpentNanos += spentNanos;
        long restNanos = mGuard.pacer().restNanos(mSpentNanos);
        if (restNanos >= 0 && mRest == null) {
            mSpentNanos = 0;
            mRest = mContext.executor().schedule(this::onRested, restNanos, TimeUnit.NANOSECONDS);
        }
    }

    private void onRested() {
        mRest = null;
        mIdleTimer.progress();
        updateReading();
    }

    private boolean mayRead() {
        return mRest == null && (!isBusy() || mDecoder.undecodedBytes() <= MAX_AHEAD_BYTES);
    }

    private void updateReading() {
        mContext.channel().config().setAutoRead(mayRead());
    }

    /**
     * Counts what this connection holds. A client that sends far ahead of its responses may be cut
     * off while its request is handled; others are not.
     */
    private void updateHolding() {
        boolean ahead = mDecoder.undecodedBytes() > MAX_AHEAD_BYTES;
        mHolding.setEvictable(mCurrent == null || ahead);
        mHolding.resize(heldBytes());
    }

    private long heldBytes() {
        long bytes = CONNECTION_BYTES + mDecoder.undecodedBytes() + mDecoder.partialBytes();
        if (mIncoming != null) {
            bytes += mIncoming.heldBytes();
        }
        if (mCurrent != null) {
            bytes += mCurrent.mBytes;
        }
        if (!mayRead()) {
            bytes += Sockets.BUFFER_BYTES;
        }
        return mAnswering ? bytes + mAnswerBytes + Sockets.BUFFER_BYTES : bytes;
    }

    /** Reports whether a request is handled or its response is being written. */
    boolean isBusy() {
        return mCurrent != null || mAnswering;
    }

    /** Reports whether a request head has been received whose response is not written yet. */
    boolean hasRequest() {
        return isBusy() || mIncoming != null;
    }

    /** Returns when the current request began, or since when there is none. */
    long sinceNanos() {
        return mStarted ? mRequestSinceNanos : mIdleTimer.sinceNanos();
    }

    /**
     * Ends this connection to free what it holds. An incomplete request is refused as not run; what
     * is left of a last response is not written.
     */
    void end(String reason) {
        if (mClosing) {
            mContext.close();
            return;
        }
        mGuard.closed(this);
        boolean incomplete = mStarted && !isBusy();
        String state = isBusy() ? "request" : "idle";
        mGuard.report(
                reason,
                incomplete ? "incomplete" : state,
                heldBytes(),
                Optional.ofNullable(mIncoming).map(IncompleteRequest::head));
        if (incomplete) {
            reject(
                    HttpResponseStatus.SERVICE_UNAVAILABLE,
                    "the node holds too many requests; not run",
                    RETRY_AFTER);
        } else {
            mClosing = true;
            mContext.close();
        }
    }

    void drain() {
        mDraining = true;
    }

    void closeIfIdle() {
        if (mAnswering) {
            mCloseAfterAnswer = true;
        } else if (!hasRequest()) {
            mClosing = true;
            mContext.close();
        }
    }

    private void onHead(HttpRequest request) {
        mHeadTimer.headComplete();
        if (request.decoderResult().isFailure()) {
            Throwable cause = request.decoderResult().cause();
            boolean tooLong =
                    cause instanceof TooLongHttpHeaderException
                            || cause instanceof TooLongHttpLineException;
            reject(
                    tooLong
                            ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
                            : HttpResponseStatus.BAD_REQUEST,
                    tooLong ? "the request head is too large" : "not an HTTP/1.1 request");
            return;
        }
        if (HttpUtil.getContentLength(request, 0L) > maxBodyBytes()) {
            reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large");
            return;
        }
        if (!mGuard.makeRoom(this)) {
            mGuard.report(ClientGuard.CONNECTIONS, "refused", heldBytes(), Optional.of(request));
            reject(
                    HttpResponseStatus.SERVICE_UNAVAILABLE,
                    "too many connections have requests; not run",
                    RETRY_AFTER);
            return;
        }
        if (HttpUtil.is100ContinueExpected(request)) {
            mContext.writeAndFlush(
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
        mIncoming = new IncompleteRequest(request);
        mSpentNanos = 0;
        mGuard.pacer().bodyStarted();
        mIdleTimer.restart();
    }

    /** A body that no account of this size can hold would be refused at each attempt. */
    private long maxBodyBytes() {
        return Math.min(mLimits.maxBodyBytes(), mGuard.memory().maxHoldingBytes());
    }

    private void onContent(HttpContent c) {
        if (c.decoderResult().isFailure()) {
            endBody();
            reject(HttpResponseStatus.BAD_REQUEST, "the body is not framed correctly");
            return;
        }
        if (mIncoming.length() + c.content().readableBytes() > maxBodyBytes()) {
            endBody();
            reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large");
            return;
        }
        mIncoming.append(c);
        if (c instanceof LastHttpContent) {
            dispatch();
        }
    }

    private void endBody() {
        if (mIncoming != null) {
            mIncoming = null;
            mGuard.pacer().bodyEnded();
        }
    }

    private void dispatch() {
        IncompleteRequest complete = mIncoming;
        mStarted = true;
        if (!mHolding.resize(CONNECTION_BYTES + complete.heldBytes())) {
            return;
        }
        endBody();
        HttpRequest head = complete.head();
        InboundRequest request =
                complete.toRequest((InetSocketAddress) mContext.channel().remoteAddress());
        mEncoder.setOmitBody(head.method().equals(HttpMethod.HEAD));
        mDecoder.pause();
        CurrentExchange exchange =
                new CurrentExchange(HttpUtil.isKeepAlive(head), complete.heldBytes());
        mCurrent = exchange;
        // The end of the connection may have been received together with the request.
        mContext.executor().execute(() -> exchange.handle(request));
    }

    private void reject(HttpResponseStatus status, String text, Field... fields) {
        endBody();
        write(Reply.text(status.code(), text + "\n", fields), false);
    }

    private void write(Reply reply, boolean keepAlive) {
        boolean keepOpen = keepAlive && !mDraining;
        mClosing = !keepOpen;
        mAnswering = true;
        mAnswerBytes = reply.body().length();
        mDecoder.pause();
        mIdleTimer.restart();
        mHolding.restart();
        ReplyWriter.write(mContext, reply, keepOpen)
                .addListener(f -> onWritten(f.isSuccess() && keepOpen));
        if (mAnswering) {
            updateHolding();
        }
    }

    private void onWritten(boolean keepOpen) throws Exception {
        mAnswering = false;
        mAnswerBytes = 0;
        if (!keepOpen || mCloseAfterAnswer) {
            mClosing = true;
            mContext.close();
            return;
        }
        mStarted = false;
        mHeadTimer.requestEnded();
        mIdleTimer.restart();
        mDecoder.resume();
        bytesRead(0);
    }

    /** Ends a connection without a request, and one whose client neither sends nor takes bytes. */
    private void onIdle() {
        if (mCurrent != null) {
            return;
        }
        if (mIncoming != null) {
            reject(HttpResponseStatus.REQUEST_TIMEOUT, "the body took too long");
        } else {
            mClosing = true;
            mContext.close();
        }
    }

    /** The request that is being handled. */
    private final class CurrentExchange implements Exchange {
        private final boolean mKeepAlive;

        /** Estimated memory of the request. */
        private final long mBytes;

        private Runnable mDisconnectAction = () -> {};
        private boolean mDone;

        CurrentExchange(boolean keepAlive, long bytes) {
            mKeepAlive = keepAlive;
            mBytes = bytes;
        }

        void handle(InboundRequest request) {
            if (!mDone && mContext.channel().isActive()) {
                mHandler.handle(request, this);
            }
        }

        @Override
        public void reply(Reply reply) {
            if (mDone) {
                return;
            }
            mDone = true;
            mCurrent = null;
            write(reply, mKeepAlive);
        }

        @Override
        public void abort() {
            if (!mDone) {
                mDone = true;
                mCurrent = null;
                mContext.close();
            }
        }

        @Override
        public void onGone(Runnable action) {
            mDisconnectAction = action;
        }

        void onDisconnect() {
            if (!mDone) {
                mDone = true;
                mDisconnectAction.run();
            }
        }
    }
}
