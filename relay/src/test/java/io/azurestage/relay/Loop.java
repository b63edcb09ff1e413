package io.azurestage.relay;

import io.azurestage.relay.http.Sockets;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** Event loop for tests, with helpers that wait for results and conditions for up to 20 s. */
public final class Loop implements AutoCloseable {
    private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(20);
    private static final long POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(2);

    private final MultiThreadIoEventLoopGroup mGroup = Sockets.eventLoop("test");

    public MultiThreadIoEventLoopGroup group() {
        return mGroup;
    }

    public EventLoop loop() {
        return (EventLoop) mGroup.next();
    }

    /** Runs a task on the event loop and returns its result. */
    public <T> T call(Callable<T> task) throws Exception {
        return loop().submit(task).get(TIMEOUT_NANOS, TimeUnit.NANOSECONDS);
    }

    public void run(Runnable task) throws Exception {
        call(
                () -> {
                    task.run();
                    return null;
                });
    }

    public static <T> T get(CompletableFuture<T> future) throws Exception {
        return future.get(TIMEOUT_NANOS, TimeUnit.NANOSECONDS);
    }

    /** Polls a condition until it holds, and fails after the timeout. */
    public static void await(String what, BooleanSupplier condition) {
        long end = System.nanoTime() + TIMEOUT_NANOS;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - end > 0) {
                throw new AssertionError("timed out waiting for: " + what);
            }
            LockSupport.parkNanos(POLL_NANOS);
        }
    }

    @Override
    public void close() {
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }
}
