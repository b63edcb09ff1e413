package io.azurestage.relay.fleet;

import io.azurestage.core.backend.ServerEntry;
import io.azurestage.core.event.EventLog;
import io.azurestage.core.event.EventType;
import io.azurestage.core.time.TimeSource;
import io.azurestage.store.LeaseResult;
import io.azurestage.store.PlatformStore;
import io.azurestage.store.ReadResult;
import io.azurestage.store.WriteResult;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.Arrays;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * Publishes this node's entry in the store under a lease: writes it when it changes, renews the
 * lease, and rewrites the entry after it has been removed. Not thread-safe; use it on the event
 * loop only.
 */
public final class Announcer {
    /**
     * Outlasts a short outage of the store, yet removes the entry of a failed VM within seconds.
     */
    private static final Duration LEASE = Duration.ofSeconds(6);

    private static final long RENEW_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    private final EventLoop mLoop;
    private final TimeSource mTime;
    private final PlatformStore mStore;
    private final String mKey;
    private final EventLog mEvents;
    private final RetryDelay mDelay = new RetryDelay(new SplittableRandom());
    private byte[] mWanted;
    private byte[] mWritten;
    private long mLease;
    private long mRevision = PlatformStore.ABSENT;

    /** A new process assumes that no entry exists; if one does, the first write conflicts. */
    private boolean mKnowsRevision = true;

    private boolean mBusy;
    private long mNotBefore;
    private long mRenewed;
    private boolean mLapsed;

    /**
     * Creates an announcer without an entry to publish.
     *
     * @param loop event loop that runs all callbacks
     * @param time clock for renewals and retries
     * @param store the platform's store
     * @param key store key of this node's entry
     * @param events event log
     */
    public Announcer(
            EventLoop loop, TimeSource time, PlatformStore store, String key, EventLog events) {
        mLoop = loop;
        mTime = time;
        mStore = store;
        mKey = key;
        mEvents = events;
        mNotBefore = time.nanos();
    }

    /**
     * Sets the entry to publish and starts writing it.
     *
     * @param entry this node's current entry
     */
    public void announce(ServerEntry entry) {
        mWanted = EntryCodec.encode(entry);
        step();
    }

    /**
     * Reports whether the store holds the current entry.
     *
     * @return whether the last write of the current entry has succeeded
     */
    public boolean isWritten() {
        return mWanted != null && Arrays.equals(mWanted, mWritten);
    }

    /** Rewrites the entry after it has been removed from the store. */
    public void disappeared() {
        mWritten = null;
        mRevision = PlatformStore.ABSENT;
        mRenewed = 0;
        step();
    }

    /** Renews the lease and retries failed requests. Call it every 100 ms. */
    public void tick() {
        step();
    }

    private void step() {
        long now = mTime.nanos();
        if (mWanted == null || mBusy || now - mNotBefore < 0) {
            return;
        }
        if (mLease == 0 || mLapsed) {
            begin();
            mStore.grantLease(LEASE).thenAcceptAsync(this::granted, mLoop);
        } else if (!isWritten() && !mKnowsRevision) {
            begin();
            mStore.get(mKey, false).thenAcceptAsync(this::read, mLoop);
        } else if (!isWritten()) {
            begin();
            byte[] value = mWanted;
            mStore.compareAndSwap(mKey, mRevision, value, mLease)
                    .thenAcceptAsync(r -> written(r, value), mLoop);
        } else if (now - mRenewed > RENEW_NANOS) {
            begin();
            mStore.keepAlive(mLease).thenAcceptAsync(this::renewed, mLoop);
        }
    }

    private void begin() {
        mBusy = true;
    }

    private void granted(LeaseResult r) {
        mBusy = false;
        if (r instanceof LeaseResult.Held h) {
            mDelay.reset();
            mLease = h.id();
            mLapsed = false;
            mRenewed = mTime.nanos();
            mWritten = null;
            step();
        } else {
            later();
        }
    }

    private void read(ReadResult r) {
        mBusy = false;
        if (r instanceof ReadResult.Found f) {
            mRevision = f.values().isEmpty() ? PlatformStore.ABSENT : f.values().get(0).revision();
            mKnowsRevision = true;
            step();
        } else {
            later();
        }
    }

    private void written(WriteResult r, byte[] value) {
        mBusy = false;
        if (r instanceof WriteResult.Applied a) {
            mDelay.reset();
            mRevision = a.revision();
            mWritten = value;
            step();
            return;
        }
        mKnowsRevision = false;
        if (r instanceof WriteResult.LeaseLapsed) {
            mLapsed = true;
        }
        if (r instanceof WriteResult.Unavailable || r instanceof WriteResult.MaybeApplied) {
            later();
        } else {
            step();
        }
    }

    private void renewed(LeaseResult r) {
        mBusy = false;
        if (r instanceof LeaseResult.Held) {
            mDelay.reset();
            mRenewed = mTime.nanos();
        } else if (r instanceof LeaseResult.Lapsed) {
            mEvents.record(EventType.ENTRY_LAPSED, Map.of("key", mKey));
            mLapsed = true;
            mWritten = null;
            mKnowsRevision = false;
            step();
        } else {
            later();
        }
    }

    private void later() {
        mNotBefore = mTime.nanos() + TimeUnit.MILLISECONDS.toNanos(mDelay.next());
    }
}
