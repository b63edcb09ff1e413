package io.azurestage.bench;

import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** Pacer on the system clock, with its own scheduler thread. */
final class SystemPacer implements Pacer, AutoCloseable {
    private final ScheduledThreadPoolExecutor mTimer =
            new ScheduledThreadPoolExecutor(
                    1,
                    task -> {
                        Thread thread = new Thread(task, "load-retries");
                        thread.setDaemon(true);
                        return thread;
                    });

    @Override
    public long nanos() {
        return System.nanoTime();
    }

    @Override
    public void waitUntil(long nanos) {
        long remaining = nanos - System.nanoTime();
        while (remaining > 0) {
            LockSupport.parkNanos(remaining);
            remaining = nanos - System.nanoTime();
        }
    }

    @Override
    public void after(long nanos, Runnable task) {
        mTimer.schedule(task, nanos, TimeUnit.NANOSECONDS);
    }

    @Override
    public void close() {
        mTimer.shutdownNow();
    }
}
