package io.azurestage.relay.fleet;

import io.azurestage.core.backend.BackendServer;
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
    private static final Duration LEASE_TTL = Duration.ofSeconds(6);

    private static final long RENEWAL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    private final EventLoop mLoop;
    private final TimeSource mTime;
    private final PlatformStore mStore;
    private final String mKey;
    private final EventLog mEvents;
    private final RetryBackoff mBackoff = new RetryBackoff(new SplittableRandom());
    private ServerEntry mEntry;
    private byte[] mDesired;
    private byte[] mWritten;
    private long mLeaseId;
    private long mRevision = PlatformStore.ABSENT;

    /** A new process assumes that no entry exists; if one does, the first write conflicts. */
    private boolean mRevisionKnown = true;

    private boolean mRequestInFlight;
    private long mNextAttemptNanos;
    private long mLastRenewalNanos;
    private boolean mLeaseLapsed;

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
        mNextAttemptNanos = time.nanos();
        store.onReset(r -> loop.execute(this::writeAgain));
    }

    /** Takes a new lease and writes the entry again, whatever the store still holds. */
    private void writeAgain() {
        mLeaseLapsed = true;
        mWritten = null;
        mRevisionKnown = false;
        startNextRequest();
    }

    /**
     * Sets the entry to publish and starts writing it.
     *
     * @param entry this node's current entry
     */
    public void announce(ServerEntry entry) {
        mEntry = entry;
        mDesired = EntryCodec.encode(entry);
        startNextRequest();
    }

    /**
     * Reports whether the store holds the current entry.
     *
     * @return whether the last write of the current entry has succeeded
     */
    public boolean isPublished() {
        return mDesired != null && Arrays.equals(mDesired, mWritten);
    }

    /** Rewrites the entry after it has been removed from the store. */
    public void disappeared() {
        mWritten = null;
        mRevision = PlatformStore.ABSENT;
        mLastRenewalNanos = 0;
        startNextRequest();
    }

    /** Renews the lease and retries failed requests. Call it every 100 ms. */
    public void tick() {
        startNextRequest();
    }

    private void startNextRequest() {
        long now = mTime.nanos();
        if (mDesired == null || mRequestInFlight || now - mNextAttemptNanos < 0) {
            return;
        }
        if (mLeaseId == 0 || mLeaseLapsed) {
            markInFlight();
            mStore.grantLease(LEASE_TTL).thenAcceptAsync(this::onLeaseGranted, mLoop);
        } else if (!isPublished() && !mRevisionKnown) {
            markInFlight();
            mStore.get(mKey, false).thenAcceptAsync(this::onEntryRead, mLoop);
        } else if (!isPublished()) {
            markInFlight();
            byte[] value = mDesired;
            BackendServer server = mEntry.server();
            mStore.compareAndSwap(mKey, mRevision, value, mLeaseId)
                    .thenAcceptAsync(r -> onEntryWritten(r, value, server), mLoop);
        } else if (now - mLastRenewalNanos > RENEWAL_INTERVAL_NANOS) {
            markInFlight();
            mStore.keepAlive(mLeaseId).thenAcceptAsync(this::onLeaseRenewed, mLoop);
        }
    }

    private void markInFlight() {
        mRequestInFlight = true;
    }

    private void onLeaseGranted(LeaseResult r) {
        mRequestInFlight = false;
        if (r instanceof LeaseResult.Held h) {
            mBackoff.reset();
            mLeaseId = h.id();
            mLeaseLapsed = false;
            mLastRenewalNanos = mTime.nanos();
            mWritten = null;
            startNextRequest();
        } else {
            delayRetry();
        }
    }

    private void onEntryRead(ReadResult r) {
        mRequestInFlight = false;
        if (r instanceof ReadResult.Found f) {
            mRevision = f.values().isEmpty() ? PlatformStore.ABSENT : f.values().get(0).revision();
            mRevisionKnown = true;
            startNextRequest();
        } else {
            delayRetry();
        }
    }

    private void onEntryWritten(WriteResult r, byte[] value, BackendServer server) {
        mRequestInFlight = false;
        if (r instanceof WriteResult.Applied a) {
            mEvents.record(
                    EventType.ENTRY_WRITTEN,
                    Map.of(
                            "server", server.serverId(),
                            "startedAtMillis", Long.toString(server.startedAtMillis()),
                            "state", server.state().name(),
                            "revision", Long.toString(a.revision())));
            mBackoff.reset();
            mRevision = a.revision();
            mWritten = value;
            startNextRequest();
            return;
        }
        mRevisionKnown = false;
        if (r instanceof WriteResult.LeaseLapsed) {
            mLeaseLapsed = true;
        }
        if (r instanceof WriteResult.Unavailable || r instanceof WriteResult.MaybeApplied) {
            delayRetry();
        } else {
            startNextRequest();
        }
    }

    private void onLeaseRenewed(LeaseResult r) {
        mRequestInFlight = false;
        if (r instanceof LeaseResult.Held) {
            mBackoff.reset();
            mLastRenewalNanos = mTime.nanos();
        } else if (r instanceof LeaseResult.Lapsed) {
            mEvents.record(EventType.ENTRY_LAPSED, Map.of("key", mKey));
            writeAgain();
        } else {
            delayRetry();
        }
    }

    private void delayRetry() {
        mNextAttemptNanos =
                mTime.nanos() + TimeUnit.MILLISECONDS.toNanos(mBackoff.nextDelayMillis());
    }
}
