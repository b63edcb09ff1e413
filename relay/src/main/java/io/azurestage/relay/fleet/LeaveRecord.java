package io.azurestage.relay.fleet;

import io.azurestage.core.backend.BackendServer;
import io.azurestage.core.event.EventLog;
import io.azurestage.core.event.EventType;
import io.azurestage.core.time.TimeSource;
import io.azurestage.store.LeaseResult;
import io.azurestage.store.PlatformStore;
import io.azurestage.store.ReadResult;
import io.azurestage.store.Versioned;
import io.azurestage.store.WriteResult;
import io.netty.channel.EventLoop;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * The record in the store that one backend server leaves. A server may start again under its id and
 * leave again while the record of its earlier incarnation is still there, so an existing record is
 * replaced unless it names a newer incarnation, and each write gives the record a new lease. Not
 * thread-safe; use it on the event loop only.
 */
final class LeaveRecord {
    /** Covers the seconds until a leaving server exits and its last delayed heartbeats arrive. */
    private static final Duration TTL = Duration.ofSeconds(60);

    /** Age at which a further report renews the record; two thirds of its lease are left then. */
    private static final long RENEWAL_AGE_NANOS = TTL.toNanos() / 3;

    private final String mServerId;
    private final EventLoop mLoop;
    private final TimeSource mTime;
    private final PlatformStore mStore;
    private final EventLog mEvents;
    private final String mKey;
    private final RetryBackoff mBackoff = new RetryBackoff(new SplittableRandom());
    private final List<Runnable> mWaiting = new ArrayList<>();

    /** Newest incarnation that has been reported as leaving. */
    private long mReported = Long.MIN_VALUE;

    private long mReportedNanos;

    /** Newest incarnation that the store held at the last write. */
    private long mStored = Long.MIN_VALUE;

    private long mStoredNanos;
    private long mRevision = PlatformStore.ABSENT;
    private boolean mWriting;

    LeaveRecord(
            String serverId,
            EventLoop loop,
            TimeSource time,
            PlatformStore store,
            EventLog events) {
        mServerId = serverId;
        mLoop = loop;
        mTime = time;
        mStore = store;
        mEvents = events;
        mKey = LeaveRecords.PREFIX + serverId;
    }

    /**
     * Decodes the incarnation that a record names.
     *
     * @throws IllegalArgumentException if the value is not a number, or no start time
     */
    static long decode(byte[] value) {
        long startedAtMillis = Long.parseLong(new String(value, StandardCharsets.UTF_8));
        BackendServer.checkStart(startedAtMillis);
        return startedAtMillis;
    }

    /** Writes the record unless the store holds it; {@code done} runs after the first attempt. */
    void write(long startedAtMillis, Runnable done) {
        mReported = Math.max(mReported, startedAtMillis);
        mReportedNanos = mTime.nanos();
        if (isStored()) {
            done.run();
            return;
        }
        mWaiting.add(done);
        if (!mWriting) {
            mWriting = true;
            grantLease();
        }
    }

    /** Writes the record again: the store was restored from a copy that may not have it. */
    void rewrite() {
        mStored = Long.MIN_VALUE;
        mRevision = PlatformStore.ABSENT;
        if (!mWriting && isNeeded()) {
            mWriting = true;
            grantLease();
        }
    }

    /** Reports whether a write is in progress or will be repeated. */
    boolean isWriting() {
        return mWriting;
    }

    /** Returns the newest incarnation that has been reported as leaving. */
    long reported() {
        return mReported;
    }

    /** Reports whether late heartbeats of the server may still arrive. */
    boolean isNeeded() {
        return mTime.nanos() - mReportedNanos < TTL.toNanos();
    }

    private boolean isStored() {
        return mStored >= mReported && mTime.nanos() - mStoredNanos < RENEWAL_AGE_NANOS;
    }

    private void grantLease() {
        mStore.grantLease(TTL)
                .thenAcceptAsync(
                        r -> {
                            if (r instanceof LeaseResult.Held h) {
                                swap(h.id(), mReported);
                            } else {
                                retryLater(r.toString());
                            }
                        },
                        mLoop);
    }

    private void swap(long lease, long startedAtMillis) {
        long writtenNanos = mTime.nanos();
        byte[] value = Long.toString(startedAtMillis).getBytes(StandardCharsets.UTF_8);
        mStore.compareAndSwap(mKey, mRevision, value, lease)
                .thenAcceptAsync(
                        r -> {
                            if (r instanceof WriteResult.Applied a) {
                                mRevision = a.revision();
                                mStored = startedAtMillis;
                                mStoredNanos = writtenNanos;
                                onStored();
                            } else if (r instanceof WriteResult.Conflict) {
                                read(lease);
                            } else {
                                retryLater(r.toString());
                            }
                        },
                        mLoop);
    }

    private void read(long lease) {
        mStore.get(mKey, false)
                .thenAcceptAsync(
                        r -> {
                            if (r instanceof ReadResult.Found f) {
                                swap(lease, Math.max(mReported, adopt(f.values())));
                            } else {
                                retryLater(r.toString());
                            }
                        },
                        mLoop);
    }

    /** Takes the revision of the present record, and returns the incarnation that it names. */
    private long adopt(List<Versioned> present) {
        if (present.isEmpty()) {
            mRevision = PlatformStore.ABSENT;
            return Long.MIN_VALUE;
        }
        mRevision = present.get(0).revision();
        try {
            return decode(present.get(0).value());
        } catch (IllegalArgumentException e) {
            mEvents.record(
                    EventType.ENTRY_UNREADABLE,
                    Map.of("key", mKey, "reason", "replaced, not a time: " + e.getMessage()));
            return Long.MIN_VALUE;
        }
    }

    private void onStored() {
        mEvents.record(
                EventType.LEAVE_RECORDED,
                Map.of(
                        "server", mServerId,
                        "startedAtMillis", Long.toString(mStored),
                        "revision", Long.toString(mRevision)));
        mBackoff.reset();
        if (isStored()) {
            mWriting = false;
            release();
        } else {
            grantLease();
        }
    }

    private void retryLater(String reason) {
        mEvents.record(EventType.LEAVE_NOT_RECORDED, Map.of("server", mServerId, "reason", reason));
        release();
        if (!isNeeded()) {
            mWriting = false;
            return;
        }
        mLoop.schedule(this::grantLease, mBackoff.nextDelayMillis(), TimeUnit.MILLISECONDS);
    }

    private void release() {
        List.copyOf(mWaiting).forEach(Runnable::run);
        mWaiting.clear();
    }
}
