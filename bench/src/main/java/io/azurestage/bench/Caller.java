package io.azurestage.bench;

import io.azurestage.bench.standin.RequestKey;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** Sends one request of a flow and checks its answer. The future always completes normally. */
@FunctionalInterface
interface Caller {
    CompletableFuture<AttemptResult> call(Flow flow, RequestKey key, Duration deadline);
}
