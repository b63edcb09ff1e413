package io.azurestage.relay.http;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** A request in progress. Not thread-safe; use it on the event loop only. */
public final class OutboundCall implements Runnable {
    private final OutboundRequest mRequest;
    private final Consumer<OutboundResult> mResultConsumer;
    private ScheduledFuture<?> mTimer;
    private Channel mChannel;
    private Runnable mSilenceAction = () -> {};
    private boolean mSent;
    private boolean mDone;

    OutboundCall(OutboundRequest request, Consumer<OutboundResult> resultConsumer) {
        mRequest = request;
        mResultConsumer = resultConsumer;
    }

    /** Cancels the request without a result and closes its connection. */
    public void cancel() {
        if (finish()) {
            closeChannel();
        }
    }

    OutboundRequest request() {
        return mRequest;
    }

    boolean isDone() {
        return mDone;
    }

    void startTimer(EventLoop loop, Duration timeout) {
        mTimer = loop.schedule(this, timeout.toMillis(), TimeUnit.MILLISECONDS);
    }

    void connectingOn(Channel channel) {
        mChannel = channel;
    }

    /**
     * Notes that the request is being sent.
     *
     * @param channel the connection
     * @param onSilence runs if the timeout ends before the answer
     */
    void sentOn(Channel channel, Runnable onSilence) {
        mChannel = channel;
        mSilenceAction = onSilence;
        mSent = true;
    }

    void answered(OutboundResult.Answered result) {
        if (finish()) {
            mResultConsumer.accept(result);
        }
    }

    void notSent(String reason) {
        if (finish()) {
            mResultConsumer.accept(new OutboundResult.NotSent(reason));
        }
    }

    void lost(String reason) {
        if (finish()) {
            mResultConsumer.accept(new OutboundResult.Lost(reason, false));
        }
    }

    /** Ends the request with a timeout; called by its timer. */
    @Override
    public void run() {
        if (!finish()) {
            return;
        }
        closeChannel();
        mSilenceAction.run();
        mResultConsumer.accept(
                mSent
                        ? new OutboundResult.Lost("no answer in " + mRequest.timeout(), true)
                        : new OutboundResult.NotSent("no connection in " + mRequest.timeout()));
    }

    private boolean finish() {
        if (mDone) {
            return false;
        }
        mDone = true;
        if (mTimer != null) {
            mTimer.cancel(false);
        }
        return true;
    }

    private void closeChannel() {
        if (mChannel != null) {
            mChannel.close();
        }
    }
}
