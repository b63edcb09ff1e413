package io.azurestage.bench;

import io.azurestage.bench.standin.RequestKey;
import io.azurestage.client.CallClass;
import java.time.Duration;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;

/** Delegates to another caller and records every attempt, including retries by the caller. */
final class CallLog implements Caller {
    private final Caller mDelegate;
    private final Queue<Attempt> mAttempts = new ConcurrentLinkedQueue<>();

    /** One attempt of a caller. Times are {@link System#nanoTime()} readings. */
    record Attempt(
            String key,
            String partner,
            CallClass workClass,
            long sentNanos,
            long endNanos,
            AttemptResult result) {
        boolean is(Verdict verdict) {
            return result.verdict() == verdict;
        }

        /**
         * Returns whether a node shed the attempt, at the entry or further down the chain. A
         * refusal further down the chain reaches the caller as {@code dependency-failed}.
         */
        boolean isShed() {
            return is(Verdict.REFUSED) || result.detail().equals("dependency-failed");
        }
    }

    CallLog(Caller delegate) {
        mDelegate = delegate;
    }

    @Override
    public CompletableFuture<AttemptResult> call(Flow flow, RequestKey key, Duration deadline) {
        long sent = System.nanoTime();
        return mDelegate
                .call(flow, key, deadline)
                .thenApply(
                        result -> {
                            mAttempts.add(
                                    new Attempt(
                                            key.text(),
                                            flow.partner(),
                                            flow.workClass(),
                                            sent,
                                            System.nanoTime(),
                                            result));
                            return result;
                        });
    }

    List<Attempt> attempts() {
        return List.copyOf(mAttempts);
    }
}
