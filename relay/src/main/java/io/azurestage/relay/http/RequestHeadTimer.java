package io.azurestage.relay.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/** Fires an event if a request head is incomplete at a timeout counted from its first byte. */
final class RequestHeadTimer extends ChannelInboundHandlerAdapter {
    /** User event that is fired when a request head has timed out. */
    static final Object HEAD_TIMEOUT = new Object();

    private final long mTimeoutMillis;
    private ScheduledFuture<?> mTimer;
    private boolean mInRequest;
    private boolean mInHead;

    RequestHeadTimer(Duration timeout) {
        mTimeoutMillis = timeout.toMillis();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        mInHead = !mInRequest;
        ctx.fireChannelRead(message);
    }

    /** Starts the timer after the first read, since most heads are complete then and need none. */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (mInHead && mTimer == null) {
            mTimer =
                    ctx.executor()
                            .schedule(
                                    () -> ctx.fireUserEventTriggered(HEAD_TIMEOUT),
                                    mTimeoutMillis,
                                    TimeUnit.MILLISECONDS);
        }
        ctx.fireChannelReadComplete();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        headComplete();
        ctx.fireChannelInactive();
    }

    void headComplete() {
        mInRequest = true;
        mInHead = false;
        if (mTimer != null) {
            mTimer.cancel(false);
            mTimer = null;
        }
    }

    void requestEnded() {
        mInRequest = false;
    }
}
