package io.azurestage.bench;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Pacer on virtual time: waiting advances the clock and runs the tasks that become due. */
final class VirtualPacer implements Pacer {
    private record Task(long nanos, long order, Runnable task) {}

    private final PriorityQueue<Task> mTasks =
            new PriorityQueue<>(
                    Comparator.comparingLong(Task::nanos).thenComparingLong(Task::order));
    private long mNanos = 1_000;
    private long mOrder;

    @Override
    public long nanos() {
        return mNanos;
    }

    @Override
    public void waitUntil(long nanos) {
        while (!mTasks.isEmpty() && mTasks.peek().nanos() <= nanos) {
            Task task = mTasks.poll();
            mNanos = Math.max(mNanos, task.nanos());
            task.task().run();
        }
        mNanos = Math.max(mNanos, nanos);
    }

    @Override
    public void after(long nanos, Runnable task) {
        mTasks.add(new Task(mNanos + nanos, mOrder++, task));
    }
}
