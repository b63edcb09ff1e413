package io.azurestage.relay.fleet;

import com.google.common.flogger.FluentLogger;
import io.azurestage.core.event.EventLog;
import io.azurestage.core.event.EventType;
import io.azurestage.store.PlatformStore;
import io.azurestage.store.ReadResult;
import io.azurestage.store.Versioned;
import io.azurestage.store.WatchEvent;
import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * Watches all keys with a prefix: lists them, subscribes to changes, and lists them again after the
 * watch has failed or the store was restored from an older copy. Not thread-safe; use it on the
 * event loop only.
 */
public final class PrefixFeed {
    /** Receives the keys and their changes. */
    public interface Listener {

        /**
         * Called after all keys have been listed.
         *
         * @param values all keys with the prefix, with their values
         */
        void listed(List<Versioned> values);

        /**
         * Called after a key has been written.
         *
         * @param value the key with its new value
         */
        void put(Versioned value);

        /**
         * Called after a key has been removed.
         *
         * @param key the removed key
         */
        void removed(String key);
    }

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final EventLoop mLoop;
    private final PlatformStore mStore;
    private final String mPrefix;
    private final Listener mListener;
    private final EventLog mEvents;
    private final RetryBackoff mBackoff = new RetryBackoff(new SplittableRandom());
    private AutoCloseable mWatch;
    private boolean mStoreDown;
    private boolean mClosed;
    private boolean mListed;

    /** Counts the listings, so that only the result of the latest one is used. */
    private long mListing;

    /**
     * Creates a feed that has not been started.
     *
     * @param loop event loop that runs all callbacks
     * @param store the platform's store
     * @param prefix prefix of the keys to watch
     * @param listener receives the keys and their changes
     * @param events event log
     */
    public PrefixFeed(
            EventLoop loop,
            PlatformStore store,
            String prefix,
            Listener listener,
            EventLog events) {
        mLoop = loop;
        mStore = store;
        mPrefix = prefix;
        mListener = listener;
        mEvents = events;
        store.onReset(r -> dispatch(this::onReset));
    }

    /** Lists the keys, then watches them. */
    public void start() {
        if (!mClosed) {
            long listing = ++mListing;
            mStore.get(mPrefix, true).thenAcceptAsync(r -> onListing(r, listing), mLoop);
        }
    }

    /**
     * Reports whether all keys have been listed at least once.
     *
     * @return whether a listing has succeeded since the start
     */
    public boolean isListed() {
        return mListed;
    }

    /**
     * Lists the keys again if a watch is open: something else shows that it misses changes.
     *
     * @param reason what shows it, for the event log
     */
    public void distrustWatch(String reason) {
        if (mWatch != null) {
            onFailure(reason);
        }
    }

    /** Closes the watch; the listener is not called any more. */
    public void close() {
        mClosed = true;
        closeWatch();
    }

    private void onListing(ReadResult result, long listing) {
        if (mClosed || listing != mListing) {
            return;
        }
        if (result instanceof ReadResult.Found f) {
            if (mStoreDown) {
                mStoreDown = false;
                mEvents.record(EventType.STORE_UP, Map.of("prefix", mPrefix));
            }
            if (!deliver(() -> mListener.listed(f.values()))) {
                return;
            }
            mListed = true;
            mBackoff.reset();
            mWatch = mStore.watch(mPrefix, true, f.revision() + 1, this::dispatch);
        } else if (result instanceof ReadResult.Unavailable u) {
            onFailure(u.reason());
        }
    }

    private void dispatch(WatchEvent e) {
        dispatch(() -> onEvent(e));
    }

    private void dispatch(Runnable task) {
        if (mLoop.inEventLoop()) {
            task.run();
        } else {
            mLoop.execute(task);
        }
    }

    private void onEvent(WatchEvent e) {
        if (mClosed) {
            return;
        }
        if (e instanceof WatchEvent.Put p) {
            deliver(() -> mListener.put(p.value()));
        } else if (e instanceof WatchEvent.Removed r) {
            deliver(() -> mListener.removed(r.key()));
        } else if (e instanceof WatchEvent.Broken b) {
            onFailure(b.reason());
        }
    }

    /**
     * Runs a call of the listener. If it fails, the keys are listed again later: an exception that
     * reaches the store's client would end the watch without a further call.
     *
     * @return whether the listener has returned normally
     */
    private boolean deliver(Runnable call) {
        try {
            call.run();
            return true;
        } catch (RuntimeException e) {
            LOGGER.atSevere().withCause(e).atMostEvery(1, TimeUnit.SECONDS).log(
                    "a change of %s was not processed; listing the keys again", mPrefix);
            onFailure("not processed: " + e);
            return false;
        }
    }

    private void onFailure(String reason) {
        if (!mStoreDown) {
            mStoreDown = true;
            mEvents.record(EventType.STORE_DOWN, Map.of("prefix", mPrefix, "reason", reason));
        }
        listLater();
    }

    /** A watch from a revision of the earlier data would miss the changes up to that revision. */
    private void onReset() {
        if (mListing > 0 && !mClosed) {
            listLater();
        }
    }

    private void listLater() {
        closeWatch();
        long listing = ++mListing;
        mLoop.schedule(
                () -> {
                    if (listing == mListing) {
                        start();
                    }
                },
                mBackoff.nextDelayMillis(),
                TimeUnit.MILLISECONDS);
    }

    private void closeWatch() {
        if (mWatch == null) {
            return;
        }
        try {
            mWatch.close();
        } catch (Exception e) {
            mEvents.record(
                    EventType.STORE_DOWN,
                    Map.of("prefix", mPrefix, "reason", "watch not closed: " + e.getMessage()));
        }
        mWatch = null;
    }
}
