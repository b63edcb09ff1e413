package io.azurestage.relay.fleet;

import io.azurestage.core.backend.LeaveListener;
import io.azurestage.core.event.EventLog;
import io.azurestage.core.event.EventType;
import io.azurestage.core.memory.BoundedMap;
import io.azurestage.core.time.TimeSource;
import io.azurestage.store.PlatformStore;
import io.azurestage.store.ReadResult;
import io.azurestage.store.Versioned;
import io.netty.channel.EventLoop;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/**
 * Stores which backend servers have reported that they are shutting down, so that a restarted node
 * does not send new work to its server again. The record of a server has the newest incarnation
 * that leaves. Not thread-safe; use it on the event loop only.
 */
public final class LeaveRecords {
    static final String PREFIX = "azurestage/left/";

    /** A server's report must be acknowledged within 1 s, even if the store does not respond. */
    private static final long WRITE_TIMEOUT_MILLIS = 700;

    /** Longest time that a starting node waits for the records. */
    private static final long READ_TIMEOUT_MILLIS = 2_500;

    /** Bounds the length of an event about records that were read. */
    private static final int MAX_REPORTED_RECORDS = 16;

    /** Servers beside this node whose records it may have to renew. */
    private static final int MAX_SERVERS = 16;

    private final EventLoop mLoop;
    private final TimeSource mTime;
    private final PlatformStore mStore;
    private final EventLog mEvents;
    private final RetryBackoff mReadBackoff = new RetryBackoff(new SplittableRandom());
    private final Map<String, LeaveRecord> mRecords = new BoundedMap<>(MAX_SERVERS);

    /**
     * Creates an accessor for the records.
     *
     * @param loop event loop that runs all callbacks
     * @param time clock for the age of the records
     * @param store the platform's store
     * @param events event log
     */
    public LeaveRecords(EventLoop loop, TimeSource time, PlatformStore store, EventLog events) {
        mLoop = loop;
        mTime = time;
        mStore = store;
        mEvents = events;
        store.onReset(r -> loop.execute(() -> mRecords.values().forEach(LeaveRecord::rewrite)));
    }

    /**
     * Returns the servers that have been reported as leaving to this process, while their late
     * reports may still arrive.
     *
     * @return start times of the newest incarnations in epoch milliseconds, by id
     */
    public Map<String, Long> recent() {
        return mRecords.entrySet().stream()
                .filter(e -> e.getValue().isNeeded())
                .collect(
                        Collectors.toUnmodifiableMap(
                                Map.Entry::getKey, e -> e.getValue().reported()));
    }

    /**
     * Reads all records, with retries until the store has answered.
     *
     * @param reader receives each record; also later, if the store answers only after 2.5 s
     * @param done runs once, after all records are read or after 2.5 s
     */
    public void load(LeaveListener reader, Runnable done) {
        RunOnce once = new RunOnce(done);
        mLoop.schedule(() -> stopWaiting(once), READ_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        load(reader, once);
    }

    private void stopWaiting(RunOnce once) {
        if (!once.hasRun()) {
            mEvents.record(
                    EventType.STORE_DOWN, Map.of("prefix", PREFIX, "reason", "not read yet"));
            once.run();
        }
    }

    private void load(LeaveListener reader, RunOnce once) {
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
                                        mReadBackoff.nextDelayMillis(),
                                        TimeUnit.MILLISECONDS);
                            }
                        },
                        mLoop);
    }

    private void loadRecord(Versioned v, LeaveListener reader) {
        try {
            reader.left(v.key().substring(PREFIX.length()), LeaveRecord.decode(v.value()));
        } catch (IllegalArgumentException e) {
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
     * Reports whether a record is being written or waits to be written again.
     *
     * @return whether the store may lack a record
     */
    public boolean isWriting() {
        return mRecords.values().stream().anyMatch(LeaveRecord::isWriting);
    }

    /**
     * Records that a server is leaving. Call it for each report of the server that it leaves: the
     * record is written if the store does not hold it, or not for much longer. A failed write is
     * repeated until it succeeds or nobody needs the record any more.
     *
     * @param serverId id of the server
     * @param startedAtMillis start time of the server, which is its incarnation, in milliseconds
     * @param done runs once, after the first write has succeeded or failed or after 0.7 s, or at
     *     once if the store holds the record
     */
    public void write(String serverId, long startedAtMillis, Runnable done) {
        RunOnce once = new RunOnce(done);
        mRecords.computeIfAbsent(serverId, id -> new LeaveRecord(id, mLoop, mTime, mStore, mEvents))
                .write(startedAtMillis, once);
        if (!once.hasRun()) {
            mLoop.schedule(once, WRITE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        }
    }
}
