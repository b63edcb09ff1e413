package io.azurestage.node;

import java.time.Duration;

/** Schedules a task to run after a delay. */
@FunctionalInterface
interface DelayScheduler {
    void schedule(Duration delay, Runnable task);
}
