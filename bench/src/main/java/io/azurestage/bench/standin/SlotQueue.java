package io.azurestage.bench.standin;

import java.util.ArrayDeque;
import java.util.Deque;

/** A fixed number of slots with a bounded FIFO queue. Thread-safe. */
final class SlotQueue {
    private final int mSlots;
    private final int mBound;
    private final Deque<Runnable> mWaiting = new ArrayDeque<>();
    private int mBusy;

    SlotQueue(int slots, int bound) {
        mSlots = slots;
        mBound = bound;
    }

    /** Starts the work now or later; returns false if the queue is full. */
    boolean submit(Runnable start) {
        synchronized (this) {
            if (mBusy == mSlots) {
                return mWaiting.size() < mBound && mWaiting.add(start);
            }
            mBusy++;
        }
        start.run();
        return true;
    }

    /** Hands the slot to the longest waiting work. */
    void release() {
        Runnable next;
        synchronized (this) {
            next = mWaiting.pollFirst();
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
        return mWaiting.size();
    }
}
