package io.azurestage.bench.standin;

import java.util.ArrayDeque;
import java.util.Deque;

/** Limits concurrent work to a fixed number of slots, with a bounded FIFO queue. Thread-safe. */
final class SlotQueue {
    private final int mSlots;
    private final int mQueueCapacity;
    private final Deque<Runnable> mQueue = new ArrayDeque<>();
    private int mBusy;

    SlotQueue(int slots, int queueCapacity) {
        mSlots = slots;
        mQueueCapacity = queueCapacity;
    }

    /** Starts the work in a free slot or queues it; returns false if the queue is full. */
    boolean submit(Runnable work) {
        synchronized (this) {
            if (mBusy == mSlots) {
                return mQueue.size() < mQueueCapacity && mQueue.add(work);
            }
            mBusy++;
        }
        work.run();
        return true;
    }

    /** Passes the slot of completed work to the oldest queued work, or frees it. */
    void release() {
        Runnable next;
        synchronized (this) {
            next = mQueue.pollFirst();
            if (next == null) {
                mBusy--;
                return;
            }
        }
        next.run();
    }

    synchronized int busy() {
        return mBusy;
    }

    synchronized int waiting() {
        return mQueue.size();
    }
}
