package io.azurestage.relay;

import io.azurestage.store.LeaseResult;
import io.azurestage.store.PlatformStore;
import io.azurestage.store.ReadResult;
import io.azurestage.store.StoreReset;
import io.azurestage.store.Versioned;
import io.azurestage.store.WatchEvent;
import io.azurestage.store.WriteResult;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/** In-memory store whose leases do not expire until {@link #expireLeases} is called. */
public final class MapStore implements PlatformStore {
    private record Watch(String prefix, Consumer<WatchEvent> listener) {}

    private final TreeMap<String, Versioned> mValues = new TreeMap<>();
    private final Map<String, Long> mLeaseByKey = new HashMap<>();
    private final List<Watch> mWatches = new ArrayList<>();
    private final List<Consumer<StoreReset>> mResetListeners = new ArrayList<>();
    private final Map<String, Versioned> mCopy = new HashMap<>();
    private final Map<String, Duration> mCheckIntervals = new HashMap<>();
    private long mCopiedRevision;
    private long mRevision = 1;
    private long mLastLease;
    private long mLastLapsedLease;
    private long mEra = 1;
    private boolean mDown;

    public synchronized void put(String key, byte[] value) {
        Versioned v = new Versioned(key, value, ++mRevision);
        mValues.put(key, v);
        notifyWatches(key, new WatchEvent.Put(v));
    }

    /** Expires all leases and removes their keys, as an outage of the store does. */
    public synchronized void expireLeases() {
        for (String key : List.copyOf(mLeaseByKey.keySet())) {
            mValues.remove(key);
            notifyWatches(key, new WatchEvent.Removed(key, ++mRevision));
        }
        mLeaseByKey.clear();
    }

    /** Makes the store unavailable, which also breaks all watches, or available again. */
    public synchronized void setDown(boolean down) {
        mDown = down;
        if (down) {
            List<Watch> watches = List.copyOf(mWatches);
            mWatches.clear();
            watches.forEach(w -> w.listener.accept(new WatchEvent.Broken("down")));
        }
    }

    /** Lets the first watch of a prefix report nothing more, as on a silent connection. */
    public synchronized void silenceFirstWatch(String prefix) {
        Watch first =
                mWatches.stream().filter(w -> w.prefix.equals(prefix)).findFirst().orElseThrow();
        mWatches.remove(first);
    }

    /** Returns how soon a watch of a prefix was last asked to notice a silent connection. */
    public synchronized Duration checkInterval(String prefix) {
        return mCheckIntervals.get(prefix);
    }

    @Override
    public synchronized void checkWatches(String prefix, Duration interval) {
        mCheckIntervals.put(prefix, interval);
    }

    /** Takes the copy that {@link #restoreCopy} brings back. */
    public synchronized void takeCopy() {
        mCopy.clear();
        mCopy.putAll(mValues);
        mCopiedRevision = mRevision;
    }

    /** Goes back to the copy: what was written since is lost, and its revisions are used again. */
    public void restoreCopy() {
        List<Consumer<StoreReset>> listeners;
        StoreReset reset;
        synchronized (this) {
            mValues.clear();
            mValues.putAll(mCopy);
            mLeaseByKey.keySet().retainAll(mCopy.keySet());
            mRevision = mCopiedRevision;
            mLastLapsedLease = mLastLease;
            mWatches.clear();
            reset = new StoreReset(mEra, ++mEra);
            listeners = List.copyOf(mResetListeners);
        }
        listeners.forEach(l -> l.accept(reset));
    }

    @Override
    public synchronized void onReset(Consumer<StoreReset> listener) {
        mResetListeners.add(listener);
    }

    public synchronized boolean has(String key) {
        return mValues.containsKey(key);
    }

    /** Returns the value of a key as text, or null if there is none. */
    public synchronized String text(String key) {
        Versioned v = mValues.get(key);
        return v == null ? null : new String(v.value(), StandardCharsets.UTF_8);
    }

    /** Returns the id of the lease that a key is bound to, 0 if there is none. */
    public synchronized long lease(String key) {
        return mLeaseByKey.getOrDefault(key, NO_LEASE);
    }

    public synchronized List<String> keys(String prefix) {
        return mValues.keySet().stream().filter(k -> k.startsWith(prefix)).toList();
    }

    @Override
    public synchronized CompletableFuture<ReadResult> get(String key, boolean prefix) {
        if (mDown) {
            return CompletableFuture.completedFuture(new ReadResult.Unavailable("down"));
        }
        List<Versioned> found =
                mValues.values().stream()
                        .filter(v -> prefix ? v.key().startsWith(key) : v.key().equals(key))
                        .toList();
        return CompletableFuture.completedFuture(new ReadResult.Found(found, mRevision));
    }

    @Override
    public synchronized CompletableFuture<WriteResult> compareAndSwap(
            String key, long expectedRevision, byte[] value, long lease) {
        if (mDown) {
            return CompletableFuture.completedFuture(new WriteResult.Unavailable("down"));
        }
        if (lease != NO_LEASE && lease <= mLastLapsedLease) {
            return CompletableFuture.completedFuture(new WriteResult.LeaseLapsed());
        }
        Versioned old = mValues.get(key);
        if ((old == null ? ABSENT : old.revision()) != expectedRevision) {
            return CompletableFuture.completedFuture(new WriteResult.Conflict());
        }
        put(key, value);
        mLeaseByKey.put(key, lease);
        return CompletableFuture.completedFuture(new WriteResult.Applied(mRevision));
    }

    @Override
    public synchronized CompletableFuture<LeaseResult> grantLease(Duration timeToLive) {
        return CompletableFuture.completedFuture(
                mDown
                        ? new LeaseResult.Unavailable("down")
                        : new LeaseResult.Held(++mLastLease, timeToLive));
    }

    @Override
    public synchronized CompletableFuture<LeaseResult> keepAlive(long lease) {
        if (mDown) {
            return CompletableFuture.completedFuture(new LeaseResult.Unavailable("down"));
        }
        return CompletableFuture.completedFuture(
                lease <= mLastLapsedLease
                        ? new LeaseResult.Lapsed()
                        : new LeaseResult.Held(lease, Duration.ofSeconds(6)));
    }

    @Override
    public synchronized AutoCloseable watch(
            String key, boolean prefix, long fromRevision, Consumer<WatchEvent> listener) {
        Watch w = new Watch(key, listener);
        mWatches.add(w);
        mValues.values().stream()
                .filter(v -> v.key().startsWith(key) && v.revision() >= fromRevision)
                .forEach(v -> listener.accept(new WatchEvent.Put(v)));
        return () -> remove(w);
    }

    private synchronized void remove(Watch w) {
        mWatches.remove(w);
    }

    private void notifyWatches(String key, WatchEvent e) {
        mWatches.stream().filter(w -> key.startsWith(w.prefix)).forEach(w -> w.listener.accept(e));
    }

    @Override
    public void close() {}
}
