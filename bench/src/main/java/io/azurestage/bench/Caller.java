package io.azurestage.bench;

import io.azurestage.bench.standin.RequestKey;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** Sends one request and checks the response. The returned future always completes normally. */
@FunctionalInterface
interface Caller {
    CompletableFuture<AttemptResult> call(Flow flow, RequestKey key, Duration deadline);
}
