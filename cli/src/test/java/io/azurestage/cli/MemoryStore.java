package io.azurestage.cli;

import io.azurestage.store.LeaseResult;
import io.azurestage.store.PlatformStore;
import io.azurestage.store.ReadResult;
import io.azurestage.store.Versioned;
import io.azurestage.store.WatchEvent;
import io.azurestage.store.WriteResult;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/**
 * In-memory store that can be unavailable, or lose all responses from the first write on: that
 * write returns {@code MaybeApplied}, and the store is unavailable afterwards.
 */
final class MemoryStore implements PlatformStore {
    private final Map<String, Versioned> mValues = new TreeMap<>();
    private long mRevision = 1;
    private boolean mDown;
    private boolean mLosesResponses;

    void down(boolean down) {
        mDown = down;
    }

    void loseResponses() {
        mLosesResponses = true;
    }

    @Override
    public CompletableFuture<ReadResult> get(String key, boolean prefix) {
        Versioned v = mValues.get(key);
        return CompletableFuture.completedFuture(
                mDown
                        ? new ReadResult.Unavailable("down")
                        : new ReadResult.Found(v == null ? List.of() : List.of(v), mRevision));
    }

    @Override
    public CompletableFuture<WriteResult> compareAndSwap(
            String key, long expectedRevision, byte[] value, long lease) {
        long current = mValues.containsKey(key) ? mValues.get(key).revision() : ABSENT;
        WriteResult result;
        if (mDown) {
            result = new WriteResult.Unavailable("down");
        } else if (current != expectedRevision) {
            result = new WriteResult.Conflict();
        } else {
            mValues.put(key, new Versioned(key, value, ++mRevision));
            result = new WriteResult.Applied(mRevision);
        }
        if (mLosesResponses) {
            mDown = true;
            result = new WriteResult.MaybeApplied("lost");
        }
        return CompletableFuture.completedFuture(result);
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
