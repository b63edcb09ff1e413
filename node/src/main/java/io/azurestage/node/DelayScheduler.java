package io.azurestage.node;

import java.time.Duration;

/** Runs a task later. */
@FunctionalInterface
interface DelayScheduler {
    void schedule(Duration delay, Runnable task);
}
