package io.azurestage.client;

import java.time.Duration;

/** Runs a task later. */
@FunctionalInterface
interface Delayer {
    void after(Duration delay, Runnable task);
}
