package io.azurestage.node;

import io.azurestage.store.LeaseResult;
import io.azurestage.store.PlatformStore;
import io.azurestage.store.ReadResult;
import io.azurestage.store.Versioned;
import io.azurestage.store.WatchEvent;
import io.azurestage.store.WriteResult;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/** An in-memory key-value store that can simulate faults. */
final class FakeStore {
    /** How the store responds to calls. */
    enum Mode {
        UP,
        DOWN,
        /** Calls are delayed until the mode changes. */
        SLOW,
        /** Writes are applied, but their response is lost. */
        LOSES_RESPONSES
    }

    private record Watch(String key, boolean prefix, Consumer<WatchEvent> listener) {}

    private final Map<String, Versioned> mValues = new TreeMap<>();
    private final List<Watch> mWatches = new ArrayList<>();
    private final List<Runnable> mPendingCalls = new ArrayList<>();
    private Mode mMode = Mode.UP;
    private long mRevision = 1;
    private int mLostResponses;
    private int mReads;

    /** Sets the mode. {@code DOWN} breaks all watches. */
    synchronized void mode(Mode mode) {
        mMode = mode;
        List<Runnable> waiting = List.copyOf(mPendingCalls);
        mPendingCalls.clear();
        if (mode == Mode.DOWN) {
            List<Watch> broken = List.copyOf(mWatches);
            mWatches.clear();
            broken.forEach(w -> w.listener().accept(new WatchEvent.Broken("the store is down")));
        }
        waiting.forEach(Runnable::run);
    }

    synchronized int pendingCalls() {
        return mPendingCalls.size();
    }

    synchronized int lostResponses() {
        return mLostResponses;
    }

    synchronized int reads() {
        return mReads;
    }

    synchronized int openWatches() {
        return mWatches.size();
    }

    synchronized String value(String key) {
        Versioned v = mValues.get(key);
        return v == null ? "" : new String(v.value(), java.nio.charset.StandardCharsets.UTF_8);
    }

    /** Replaces a value without notifying watches, as a restore from an old backup does. */
    synchronized void restore(String key, String value) {
        byte[] bytes = value.getBytes(java.nio.charset.StandardCharsets.UTF_8);
        mValues.put(key, new Versioned(key, bytes, ++mRevision));
    }

    /** Returns a client connection. */
    PlatformStore connect() {
        return new Connection();
    }

    private synchronized void runWhenResponding(Runnable call) {
        if (mMode == Mode.SLOW) {
            mPendingCalls.add(call);
        } else {
            call.run();
        }
    }

    private synchronized ReadResult read(String key, boolean prefix) {
        mReads++;
        if (mMode == Mode.DOWN) {
            return new ReadResult.Unavailable("the store is down");
        }
        List<Versioned> found =
                mValues.values().stream().filter(v -> matches(v.key(), key, prefix)).toList();
        return new ReadResult.Found(found, mRevision);
    }

    private static boolean matches(String name, String key, boolean prefix) {
        return prefix ? name.startsWith(key) : name.equals(key);
    }

    private synchronized WriteResult write(String key, long expected, byte[] value) {
        if (mMode == Mode.DOWN) {
            return new WriteResult.Unavailable("the store is down");
        }
        Versioned old = mValues.get(key);
        if ((old == null ? PlatformStore.ABSENT : old.revision()) != expected) {
            return new WriteResult.Conflict();
        }
        Versioned v = new Versioned(key, value, ++mRevision);
        mValues.put(key, v);
        mWatches.stream()
                .filter(w -> matches(key, w.key(), w.prefix()))
                .forEach(w -> w.listener().accept(new WatchEvent.Put(v)));
        if (mMode == Mode.LOSES_RESPONSES) {
            mLostResponses++;
            return new WriteResult.MaybeApplied("the answer was lost");
        }
        return new WriteResult.Applied(mRevision);
    }

    private synchronized AutoCloseable addWatch(Watch w) {
        if (mMode == Mode.DOWN) {
            w.listener().accept(new WatchEvent.Broken("the store is down"));
            return () -> {};
        }
        mWatches.add(w);
        return () -> {
            synchronized (FakeStore.this) {
                mWatches.remove(w);
            }
        };
    }

    private final class Connection implements PlatformStore {
        @Override
        public CompletableFuture<ReadResult> get(String key, boolean prefix) {
            CompletableFuture<ReadResult> done = new CompletableFuture<>();
            runWhenResponding(() -> done.complete(read(key, prefix)));
            return done;
        }

        @Override
        public CompletableFuture<WriteResult> compareAndSwap(
                String key, long expectedRevision, byte[] value, long lease) {
            CompletableFuture<WriteResult> done = new CompletableFuture<>();
            runWhenResponding(() -> done.complete(write(key, expectedRevision, value)));
            return done;
        }

        @Override
        public CompletableFuture<LeaseResult> grantLease(Duration timeToLive) {
            throw new UnsupportedOperationException("nodes use no leases");
        }

        @Override
        public CompletableFuture<LeaseResult> keepAlive(long lease) {
            throw new UnsupportedOperationException("nodes use no leases");
        }

        @Override
        public AutoCloseable watch(
                String key, boolean prefix, long fromRevision, Consumer<WatchEvent> listener) {
            return addWatch(new Watch(key, prefix, listener));
        }

        @Override
        public void close() {}
    }
}
