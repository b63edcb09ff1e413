package io.azurestage.client;

import java.net.URI;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** Sends one attempt. The future always completes normally. */
@FunctionalInterface
interface Transport {
    CompletableFuture<AttemptResult> send(URI entry, AttemptRequest request, Duration timeout);
}
