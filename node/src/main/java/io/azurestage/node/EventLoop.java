package io.azurestage.node;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Supplier;
import org.jctools.queues.MpscArrayQueue;

/**
 * A thread with one job, fed by two bounded rings. The priority ring is sized so that it cannot
 * fill: it takes what must not be lost, such as completions of admitted work.
 */
final class EventLoop implements AutoCloseable {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final MpscArrayQueue<Runnable> mPriority;
    private final MpscArrayQueue<Runnable> mTasks;
    private final Supplier<Duration> mTick;
    private final Runnable mOnTick;
    private final Thread mThread;
    private volatile boolean mParked;
    private volatile boolean mClosed;

    EventLoop(
            String name,
            int capacity,
            int priorityCapacity,
            Supplier<Duration> tick,
            Runnable onTick) {
        mTasks = new MpscArrayQueue<>(capacity);
        mPriority = new MpscArrayQueue<>(priorityCapacity);
        mTick = tick;
        mOnTick = onTick;
        mThread = new Thread(this::loop, name);
        mThread.setDaemon(true);
    }

    EventLoop start() {
        mThread.start();
        return this;
    }

    /** Hands over a task; false if the ring is full, in which case nothing happened. */
    boolean offer(Runnable task) {
        boolean taken = mTasks.offer(task);
        wake();
        return taken;
    }

    /** Hands over a task that must not be lost. */
    void offerPriority(Runnable task) {
        if (!mPriority.offer(task)) {
            throw new IllegalStateException("priority ring of " + mThread.getName() + " is full");
        }
        wake();
    }

    private void wake() {
        if (mParked) {
            LockSupport.unpark(mThread);
        }
    }

    private void loop() {
        long next = System.nanoTime() + mTick.get().toNanos();
        while (!mClosed) {
            boolean worked = runOne();
            long now = System.nanoTime();
            if (now - next >= 0) {
                guarded(mOnTick);
                next = now + mTick.get().toNanos();
            } else if (!worked) {
                park(next - now);
            }
        }
    }

    private boolean runOne() {
        Runnable task = mPriority.poll();
        if (task == null) {
            task = mTasks.poll();
        }
        if (task == null) {
            return false;
        }
        guarded(task);
        return true;
    }

    private void park(long nanos) {
        mParked = true;
        if (mPriority.isEmpty() && mTasks.isEmpty() && !mClosed) {
            LockSupport.parkNanos(nanos);
        }
        mParked = false;
    }

    private void guarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            // One faulty task must not end the duty: every later request would then be refused.
            LOGGER.atSevere().withCause(e).log("a task of %s failed", mThread.getName());
        }
    }

    @Override
    public void close() {
        mClosed = true;
        LockSupport.unpark(mThread);
    }
}
