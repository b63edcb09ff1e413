package io.azurestage.mesh;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.jctools.queues.MpscArrayQueue;

/** The membership thread: runs tasks from a bounded ring, and a tick every 100 ms. */
final class MembershipLoop {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int RING_SIZE = 4_096;
    private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final int LOG_PERIOD_SECONDS = 10;
    private static final long JOIN_MILLIS = 2_000;

    private final MpscArrayQueue<Runnable> mRing = new MpscArrayQueue<>(RING_SIZE);
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

    /** Hands over a task; false if the ring is full or the duty has ended. */
    boolean offer(Runnable task) {
        if (mClosed || !mRing.offer(task)) {
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
            mThread.join(JOIN_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void run() {
        long next = System.nanoTime();
        while (!mClosed) {
            long now = System.nanoTime();
            if (now - next >= 0) {
                next = now + TICK_NANOS;
                guard(mTick);
            }
            for (int i = 0; i < RING_SIZE; i++) {
                Runnable task = mRing.poll();
                if (task == null) {
                    break;
                }
                guard(task);
            }
            guard(mPublish);
            if (mRing.isEmpty() && !mClosed) {
                LockSupport.parkNanos(this, next - System.nanoTime());
            }
        }
    }

    /** One bad message must not end the duty. */
    private void guard(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            mCounters.mFailed.increment();
            LOGGER.atSevere().withCause(e).atMostEvery(LOG_PERIOD_SECONDS, TimeUnit.SECONDS).log(
                    "a task of the membership duty failed");
        }
    }
}
