package io.azurestage.client;

import java.time.Duration;

/** Runs a task after a delay. */
@FunctionalInterface
interface Delayer {
    void after(Duration delay, Runnable task);
}
