package io.azurestage.bench;

/** Time as a load generator sees it; virtual in tests. */
interface Pacer {
    /** Returns monotonic nanoseconds. */
    long nanos();

    /** Returns once the given reading is reached. */
    void waitUntil(long nanos);

    /** Runs a task after a delay. */
    void after(long nanos, Runnable task);
}
