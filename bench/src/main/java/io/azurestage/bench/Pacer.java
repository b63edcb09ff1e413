package io.azurestage.bench;

/** Clock and scheduler of a load generator. Tests use virtual time. */
interface Pacer {
    /** Returns the monotonic time in nanoseconds; its origin is arbitrary. */
    long nanos();

    /** Blocks until {@link #nanos()} reaches the given value. */
    void waitUntil(long nanos);

    /** Runs a task after a delay in nanoseconds. */
    void after(long nanos, Runnable task);
}
