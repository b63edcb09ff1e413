package io.azurestage.store;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/** A single-threaded fake store that runs pending calls in random order and injects faults. */
final class SimulatedStore implements PlatformStore {
    private final Random mRandom;
    private final Map<String, Versioned> mValues = new TreeMap<>();
    private final List<Versioned> mApplied = new ArrayList<>();
    private final List<Runnable> mPending = new ArrayList<>();
    private double mFaultRate;
    private long mRevision = 1;

    SimulatedStore(long seed, double faultRate) {
        mRandom = new Random(seed);
        mFaultRate = faultRate;
    }

    /** Runs all pending calls, and those that they cause, until none is left. */
    void run() {
        while (!mPending.isEmpty()) {
            mPending.remove(mRandom.nextInt(mPending.size())).run();
        }
    }

    void stopFaults() {
        mFaultRate = 0;
    }

    /** Returns all writes that took effect, in the order of their revisions. */
    List<Versioned> applied() {
        return mApplied;
    }

    CompletableFuture<Void> pause() {
        CompletableFuture<Void> done = new CompletableFuture<>();
        mPending.add(() -> done.complete(null));
        return done;
    }

    private boolean fails() {
        return mRandom.nextDouble() < mFaultRate;
    }

    @Override
    public CompletableFuture<ReadResult> get(String key, boolean prefix) {
        CompletableFuture<ReadResult> done = new CompletableFuture<>();
        mPending.add(
                () -> {
                    Versioned v = mValues.get(key);
                    done.complete(
                            fails()
                                    ? new ReadResult.Unavailable("fault")
                                    : new ReadResult.Found(
                                            v == null ? List.of() : List.of(v), mRevision));
                });
        return done;
    }

    @Override
    public CompletableFuture<WriteResult> compareAndSwap(
            String key, long expectedRevision, byte[] value, long lease) {
        CompletableFuture<WriteResult> done = new CompletableFuture<>();
        Runnable apply = () -> apply(key, expectedRevision, value);
        mPending.add(
                () -> {
                    if (!fails()) {
                        done.complete(apply(key, expectedRevision, value));
                        return;
                    }
                    switch (mRandom.nextInt(4)) {
                        case 0 -> apply.run();
                        case 1 -> mPending.add(apply);
                        case 2 -> {
                            done.complete(new WriteResult.Unavailable("fault"));
                            return;
                        }
                        default -> {}
                    }
                    done.complete(new WriteResult.MaybeApplied("fault"));
                });
        return done;
    }

    private WriteResult apply(String key, long expected, byte[] value) {
        long current = mValues.containsKey(key) ? mValues.get(key).revision() : ABSENT;
        if (current != expected) {
            return new WriteResult.Conflict();
        }
        Versioned v = new Versioned(key, value, ++mRevision);
        mValues.put(key, v);
        mApplied.add(v);
        return new WriteResult.Applied(mRevision);
    }

    @Override
    public CompletableFuture<LeaseResult> grantLease(Duration timeToLive) {
        throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<LeaseResult> keepAlive(long lease) {
        throw new UnsupportedOperationException();
    }

    @Override
    public AutoCloseable watch(
            String key, boolean prefix, long fromRevision, Consumer<WatchEvent> listener) {
        throw new UnsupportedOperationException();
    }

    @Override
    public void close() {}
}
