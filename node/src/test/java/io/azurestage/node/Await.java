package io.azurestage.node;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** Polls for a condition that another thread makes true. */
final class Await {
    // Only failing tests wait this long.
    private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(20);
    private static final long POLL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

    private Await() {}

    static void until(String what, BooleanSupplier condition) {
        until(what, condition, () -> {});
    }

    /** Runs a step before each poll, such as advancing a manual clock. */
    static void until(String what, BooleanSupplier condition, Runnable step) {
        long deadline = System.nanoTime() + TIMEOUT_NANOS;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - deadline > 0) {
                throw new AssertionError("timed out waiting until " + what);
            }
            step.run();
            LockSupport.parkNanos(POLL_INTERVAL_NANOS);
        }
    }
}
