package io.azurestage.mesh;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.jctools.queues.MpscArrayQueue;

/**
 * Event loop of the membership thread: runs tasks from a bounded queue, and a tick every 100 ms.
 */
final class MembershipLoop {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int QUEUE_CAPACITY = 4_096;
    private static final long TICK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final int LOG_INTERVAL_SECONDS = 10;
    private static final long JOIN_TIMEOUT_MILLIS = 2_000;

    private final MpscArrayQueue<Runnable> mQueue = new MpscArrayQueue<>(QUEUE_CAPACITY);
    private final Runnable mTick;
    private final Runnable mPublish;
    private final Counters mCounters;
    private final Thread mThread;
    private volatile boolean mClosed;

    MembershipLoop(Runnable tick, Runnable publish, Counters counters) {
        mTick = tick;
        mPublish = publish;
        mCounters = counters;
        mThread = new Thread(this::run, "membership");
        mThread.setDaemon(true);
    }

    void start() {
        mThread.start();
    }

    /** Queues a task; returns false if the queue is full or the loop is closed. */
    boolean offer(Runnable task) {
        if (mClosed || !mQueue.offer(task)) {
            mCounters.mOverflowed.increment();
            return false;
        }
        LockSupport.unpark(mThread);
        return true;
    }

    void close() {
        mClosed = true;
        LockSupport.unpark(mThread);
        if (Thread.currentThread() == mThread) {
            return;
        }
        try {
            mThread.join(JOIN_TIMEOUT_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void run() {
        long nextTick = System.nanoTime();
        while (!mClosed) {
            long now = System.nanoTime();
            if (now - nextTick >= 0) {
                nextTick = now + TICK_INTERVAL_NANOS;
                runAndLogFailure(mTick);
            }
            for (int i = 0; i < QUEUE_CAPACITY; i++) {
                Runnable task = mQueue.poll();
                if (task == null) {
                    break;
                }
                runAndLogFailure(task);
            }
            runAndLogFailure(mPublish);
            if (mQueue.isEmpty() && !mClosed) {
                LockSupport.parkNanos(this, nextTick - System.nanoTime());
            }
        }
    }

    /** Catches exceptions, so that one bad message does not end the loop. */
    private void runAndLogFailure(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            mCounters.mFailed.increment();
            LOGGER.atSevere().withCause(e).atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
                    "membership task failed");
        }
    }
}
