package io.azurestage.relay.fleet;

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
 * Follows all keys with a prefix: reads them, watches for changes, and reads them again when the
 * watch breaks. Used on the event loop only.
 */
public final class PrefixFeed {
    /** Receives the state of the keys. */
    public interface Listener {

        /**
         * All keys were read.
         *
         * @param values the keys with their values
         */
        void listed(List<Versioned> values);

        /**
         * One key was written.
         *
         * @param value the key with its value
         */
        void put(Versioned value);

        /**
         * One key was removed.
         *
         * @param key the key
         */
        void removed(String key);
    }

    private final EventLoop mLoop;
    private final PlatformStore mStore;
    private final String mPrefix;
    private final Listener mListener;
    private final EventLog mEvents;
    private final RetryDelay mDelay = new RetryDelay(new SplittableRandom());
    private AutoCloseable mWatch;
    private boolean mStoreDown;
    private boolean mClosed;
    private boolean mListed;

    /**
     * Creates a feed that is not started.
     *
     * @param loop the event loop
     * @param store the store
     * @param prefix beginning of the keys
     * @param listener receives their state
     * @param events log of events
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
    }

    /** Starts to read. */
    public void start() {
        if (!mClosed) {
            mStore.get(mPrefix, true).thenAcceptAsync(this::listed, mLoop);
        }
    }

    /**
     * Reports whether all keys were read at least once.
     *
     * @return whether a listing has come
     */
    public boolean isListed() {
        return mListed;
    }

    /** Ends the watch. */
    public void close() {
        mClosed = true;
        closeWatch();
    }

    private void listed(ReadResult result) {
        if (mClosed) {
            return;
        }
        if (result instanceof ReadResult.Found f) {
            if (mStoreDown) {
                mStoreDown = false;
                mEvents.record(EventType.STORE_UP, Map.of("prefix", mPrefix));
            }
            mListed = true;
            mDelay.reset();
            mListener.listed(f.values());
            mWatch = mStore.watch(mPrefix, true, f.revision() + 1, e -> onLoop(e));
        } else if (result instanceof ReadResult.Unavailable u) {
            broken(u.reason());
        }
    }

    private void onLoop(WatchEvent e) {
        if (mLoop.inEventLoop()) {
            changed(e);
        } else {
            mLoop.execute(() -> changed(e));
        }
    }

    private void changed(WatchEvent e) {
        if (mClosed) {
            return;
        }
        if (e instanceof WatchEvent.Put p) {
            mListener.put(p.value());
        } else if (e instanceof WatchEvent.Removed r) {
            mListener.removed(r.key());
        } else if (e instanceof WatchEvent.Broken b) {
            broken(b.reason());
        }
    }

    private void broken(String reason) {
        closeWatch();
        if (!mStoreDown) {
            mStoreDown = true;
            mEvents.record(EventType.STORE_DOWN, Map.of("prefix", mPrefix, "reason", reason));
        }
        mLoop.schedule(this::start, mDelay.next(), TimeUnit.MILLISECONDS);
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
