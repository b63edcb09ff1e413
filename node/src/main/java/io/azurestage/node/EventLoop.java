package io.azurestage.node;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Supplier;
import org.jctools.queues.MpscArrayQueue;

/**
 * A thread that runs queued tasks and a periodic action. It has two bounded queues: the priority
 * queue is for tasks that must not be lost, such as completions of admitted work; its users give it
 * a capacity that cannot be reached.
 */
final class EventLoop implements AutoCloseable {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final MpscArrayQueue<Runnable> mPriorityTasks;
    private final MpscArrayQueue<Runnable> mTasks;
    private final Supplier<Duration> mTickInterval;
    private final Runnable mOnTick;
    private final Thread mThread;
    private volatile boolean mParked;
    private volatile boolean mClosed;

    EventLoop(
            String name,
            int capacity,
            int priorityCapacity,
            Supplier<Duration> tickInterval,
            Runnable onTick) {
        mTasks = new MpscArrayQueue<>(capacity);
        mPriorityTasks = new MpscArrayQueue<>(priorityCapacity);
        mTickInterval = tickInterval;
        mOnTick = onTick;
        mThread = new Thread(this::loop, name);
        mThread.setDaemon(true);
    }

    EventLoop start() {
        mThread.start();
        return this;
    }

    /** Enqueues a task. Returns false if the queue is full; the task is then not run. */
    boolean offer(Runnable task) {
        boolean enqueued = mTasks.offer(task);
        wake();
        return enqueued;
    }

    /**
     * Enqueues a task that must not be lost.
     *
     * @throws IllegalStateException if the priority queue is full
     */
    void offerPriority(Runnable task) {
        if (!mPriorityTasks.offer(task)) {
            throw new IllegalStateException(
                    "priority queue of event loop " + mThread.getName() + " is full");
        }
        wake();
    }

    private void wake() {
        if (mParked) {
            LockSupport.unpark(mThread);
        }
    }

    private void loop() {
        long next = System.nanoTime() + mTickInterval.get().toNanos();
        while (!mClosed) {
            boolean ranTask = runOne();
            long now = System.nanoTime();
            if (now - next >= 0) {
                runSafely(mOnTick);
                next = now + mTickInterval.get().toNanos();
            } else if (!ranTask) {
                park(next - now);
            }
        }
    }

    private boolean runOne() {
        Runnable task = mPriorityTasks.poll();
        if (task == null) {
            task = mTasks.poll();
        }
        if (task == null) {
            return false;
        }
        runSafely(task);
        return true;
    }

    private void park(long nanos) {
        mParked = true;
        if (mPriorityTasks.isEmpty() && mTasks.isEmpty() && !mClosed) {
            LockSupport.parkNanos(nanos);
        }
        mParked = false;
    }

    private void runSafely(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            // A failing task must not end the thread: all later requests would be refused.
            LOGGER.atSevere().withCause(e).log("task of event loop %s failed", mThread.getName());
        }
    }

    @Override
    public void close() {
        mClosed = true;
        LockSupport.unpark(mThread);
    }
}
