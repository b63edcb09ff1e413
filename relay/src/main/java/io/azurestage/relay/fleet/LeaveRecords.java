package io.azurestage.relay.fleet;

import io.azurestage.core.event.EventLog;
import io.azurestage.core.event.EventType;
import io.azurestage.store.LeaseResult;
import io.azurestage.store.PlatformStore;
import io.azurestage.store.ReadResult;
import io.azurestage.store.Versioned;
import io.azurestage.store.WriteResult;
import io.netty.channel.EventLoop;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/**
 * Stores which backend servers have reported that they are shutting down, so that a restarted node
 * does not send new work to its server again. Not thread-safe; use it on the event loop only.
 */
public final class LeaveRecords {
    private static final String PREFIX = "azurestage/left/";

    /** Covers the seconds until a leaving server exits and its last delayed heartbeats arrive. */
    private static final Duration RECORD_TTL = Duration.ofSeconds(60);

    /** A server's report must be acknowledged within 1 s, even if the store does not respond. */
    private static final long WRITE_TIMEOUT_MILLIS = 700;

    /** Longest time that a starting node waits for the records. */
    private static final long READ_TIMEOUT_MILLIS = 2_500;

    private static final long READ_RETRY_DELAY_MILLIS = 250;

    /** Bounds the length of an event about records that were read. */
    private static final int MAX_REPORTED_RECORDS = 16;

    /** Receives the records. */
    @FunctionalInterface
    public interface Reader {

        /**
         * Called for a server that has left or is leaving.
         *
         * @param serverId id of the server
         * @param startedAtMillis start time of the server, which is its incarnation, in
         *     milliseconds
         */
        void left(String serverId, long startedAtMillis);
    }

    private final EventLoop mLoop;
    private final PlatformStore mStore;
    private final EventLog mEvents;

    /**
     * Creates an accessor for the records.
     *
     * @param loop event loop that runs all callbacks
     * @param store the platform's store
     * @param events event log
     */
    public LeaveRecords(EventLoop loop, PlatformStore store, EventLog events) {
        mLoop = loop;
        mStore = store;
        mEvents = events;
    }

    /**
     * Reads all records, with retries while the store is unavailable.
     *
     * @param reader receives each record
     * @param done runs once, after all records are read or after 2.5 s
     */
    public void load(Reader reader, Runnable done) {
        RunOnce once = new RunOnce(done);
        mLoop.schedule(once, READ_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        load(reader, once);
    }

    private void load(Reader reader, RunOnce once) {
        if (once.mRan) {
            mEvents.record(EventType.STORE_DOWN, Map.of("prefix", PREFIX, "reason", "not read"));
            return;
        }
        mStore.get(PREFIX, true)
                .thenAcceptAsync(
                        r -> {
                            if (r instanceof ReadResult.Found f) {
                                f.values().forEach(v -> loadRecord(v, reader));
                                reportLoaded(f.values());
                                once.run();
                            } else {
                                mLoop.schedule(
                                        () -> load(reader, once),
                                        READ_RETRY_DELAY_MILLIS,
                                        TimeUnit.MILLISECONDS);
                            }
                        },
                        mLoop);
    }

    private void loadRecord(Versioned v, Reader reader) {
        try {
            long startedAtMillis = Long.parseLong(new String(v.value(), StandardCharsets.UTF_8));
            reader.left(v.key().substring(PREFIX.length()), startedAtMillis);
        } catch (NumberFormatException e) {
            mEvents.record(
                    EventType.ENTRY_UNREADABLE,
                    Map.of("key", v.key(), "reason", "not a time: " + e.getMessage()));
        }
    }

    private void reportLoaded(List<Versioned> records) {
        String servers =
                records.stream()
                        .limit(MAX_REPORTED_RECORDS)
                        .map(LeaveRecords::describe)
                        .collect(Collectors.joining(" "));
        mEvents.record(
                EventType.LEAVES_LOADED,
                Map.of("records", Integer.toString(records.size()), "servers", servers));
    }

    private static String describe(Versioned v) {
        return v.key().substring(PREFIX.length())
                + "="
                + new String(v.value(), StandardCharsets.UTF_8);
    }

    /**
     * Records that a server is leaving.
     *
     * @param serverId id of the server
     * @param startedAtMillis start time of the server, which is its incarnation, in milliseconds
     * @param done runs once, after the write has succeeded or failed or after 0.7 s
     */
    public void write(String serverId, long startedAtMillis, Runnable done) {
        RunOnce once = new RunOnce(done);
        mLoop.schedule(once, WRITE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        mStore.grantLease(RECORD_TTL)
                .thenAcceptAsync(
                        r -> {
                            if (r instanceof LeaseResult.Held h) {
                                write(serverId, startedAtMillis, h.id(), once);
                            } else {
                                reportFailure(serverId, r.toString(), once);
                            }
                        },
                        mLoop);
    }

    private void write(String serverId, long startedAtMillis, long lease, RunOnce once) {
        byte[] value = Long.toString(startedAtMillis).getBytes(StandardCharsets.UTF_8);
        mStore.compareAndSwap(PREFIX + serverId, PlatformStore.ABSENT, value, lease)
                .thenAcceptAsync(
                        r -> {
                            boolean recorded =
                                    r instanceof WriteResult.Applied
                                            || r instanceof WriteResult.Conflict;
                            if (recorded) {
                                mEvents.record(
                                        EventType.LEAVE_RECORDED,
                                        Map.of(
                                                "server", serverId,
                                                "startedAtMillis", Long.toString(startedAtMillis),
                                                "outcome", r.getClass().getSimpleName()));
                                once.run();
                            } else {
                                reportFailure(serverId, r.toString(), once);
                            }
                        },
                        mLoop);
    }

    /** Not retried: the record matters only if this node restarts within the next few seconds. */
    private void reportFailure(String serverId, String reason, RunOnce once) {
        mEvents.record(EventType.LEAVE_NOT_RECORDED, Map.of("server", serverId, "reason", reason));
        once.run();
    }

    private static final class RunOnce implements Runnable {
        private final Runnable mAction;
        private boolean mRan;

        RunOnce(Runnable action) {
            mAction = action;
        }

        @Override
        public void run() {
            if (!mRan) {
                mRan = true;
                mAction.run();
            }
        }
    }
}
