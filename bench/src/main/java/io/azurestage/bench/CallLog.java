package io.azurestage.bench;

import io.azurestage.bench.standin.RequestKey;
import io.azurestage.client.CallClass;
import java.time.Duration;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;

/** Passes calls on and records each attempt of a caller, also those that the caller repeats. */
final class CallLog implements Caller {
    private final Caller mCaller;
    private final Queue<Attempt> mAttempts = new ConcurrentLinkedQueue<>();

    /** One attempt of a caller; times are readings of {@link System#nanoTime()}. */
    record Attempt(
            String key,
            String partner,
            CallClass workClass,
            long sentNanos,
            long endNanos,
            AttemptResult ending) {
        boolean is(Verdict verdict) {
            return ending.verdict() == verdict;
        }

        /**
         * Whether a node turned the attempt away, here or deeper in the chain. A refusal deeper in
         * the chain reaches the caller as {@code dependency-failed}.
         */
        boolean isShed() {
            return is(Verdict.REFUSED) || ending.detail().equals("dependency-failed");
        }
    }

    CallLog(Caller caller) {
        mCaller = caller;
    }

    @Override
    public CompletableFuture<AttemptResult> call(Flow flow, RequestKey key, Duration deadline) {
        long sent = System.nanoTime();
        return mCaller.call(flow, key, deadline)
                .thenApply(
                        ending -> {
                            mAttempts.add(
                                    new Attempt(
                                            key.text(),
                                            flow.partner(),
                                            flow.workClass(),
                                            sent,
                                            System.nanoTime(),
                                            ending));
                            return ending;
                        });
    }

    List<Attempt> attempts() {
        return List.copyOf(mAttempts);
    }
}
