package io.azurestage.client;

import java.time.Duration;

/** Runs a task after a delay. */
@FunctionalInterface
interface DelayScheduler {
    void schedule(Duration delay, Runnable task);
}
