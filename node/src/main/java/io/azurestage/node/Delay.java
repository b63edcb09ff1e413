package io.azurestage.node;

import java.time.Duration;

/** Runs a task later. */
@FunctionalInterface
interface Delay {
    void schedule(Duration delay, Runnable task);
}
