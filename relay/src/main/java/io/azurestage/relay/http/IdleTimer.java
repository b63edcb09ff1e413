package io.azurestage.relay.http;

import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * Notices that nothing has happened on a connection for some time. The timer keeps running during
 * requests, so that no request has to start a new one.
 */
final class IdleTimer {
    private final long mTimeoutNanos;
    private final Runnable mOnIdle;
    private EventExecutor mExecutor;
    private ScheduledFuture<?> mTimer;
    private long mSinceNanos;

    /**
     * Creates a timer that does not run yet.
     *
     * @param timeout time without progress
     * @param onIdle runs at each timeout; it may {@link #restart} the timer
     */
    IdleTimer(Duration timeout, Runnable onIdle) {
        mTimeoutNanos = timeout.toNanos();
        mOnIdle = onIdle;
    }

    void start(EventExecutor executor) {
        mExecutor = executor;
        restart();
    }

    /** Counts from now on, and runs again if it has expired. */
    void restart() {
        progress();
        if (mTimer == null) {
            schedule(mTimeoutNanos);
        }
    }

    /** Counts from now on. */
    void progress() {
        mSinceNanos = nanos();
    }

    long sinceNanos() {
        return mSinceNanos;
    }

    long nanos() {
        return mExecutor.ticker().nanoTime();
    }

    private void schedule(long nanos) {
        mTimer = mExecutor.schedule(this::onTimer, nanos, TimeUnit.NANOSECONDS);
    }

    private void onTimer() {
        mTimer = null;
        long remainingNanos = mSinceNanos + mTimeoutNanos - nanos();
        if (remainingNanos > 0) {
            schedule(remainingNanos);
        } else {
            mOnIdle.run();
        }
    }

    void cancel() {
        if (mTimer != null) {
            mTimer.cancel(false);
            mTimer = null;
        }
    }
}
