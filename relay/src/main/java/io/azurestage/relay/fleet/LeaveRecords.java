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
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Backend servers that have said that they leave, kept in the store so that a node that restarts
 * does not send new work to its server again. Used on the event loop only.
 */
public final class LeaveRecords {
    private static final String PREFIX = "azurestage/left/";

    /** A leaving server ends within seconds; late heartbeats of it arrive some seconds later. */
    private static final Duration LIFE = Duration.ofSeconds(60);

    /** The report must be acknowledged within a second, whether or not the store answers. */
    private static final long WRITE_MILLIS = 700;

    /** How long a starting node waits for the records. */
    private static final long READ_MILLIS = 2_500;

    private static final long RETRY_MILLIS = 250;

    /** Takes one record. */
    @FunctionalInterface
    public interface Reader {

        /**
         * A server has left or is about to.
         *
         * @param serverId id of the server
         * @param startedAtMillis its incarnation
         */
        void left(String serverId, long startedAtMillis);
    }

    private final EventLoop mLoop;
    private final PlatformStore mStore;
    private final EventLog mEvents;

    /**
     * Creates the access to the records.
     *
     * @param loop the event loop
     * @param store the store
     * @param events log of events
     */
    public LeaveRecords(EventLoop loop, PlatformStore store, EventLog events) {
        mLoop = loop;
        mStore = store;
        mEvents = events;
    }

    /**
     * Reads all records.
     *
     * @param reader takes each
     * @param done runs once, when all are read or the store has not answered in time
     */
    public void load(Reader reader, Runnable done) {
        Once once = new Once(done);
        mLoop.schedule(once, READ_MILLIS, TimeUnit.MILLISECONDS);
        load(reader, once);
    }

    private void load(Reader reader, Once once) {
        if (once.mRan) {
            mEvents.record(EventType.STORE_DOWN, Map.of("prefix", PREFIX, "reason", "not read"));
            return;
        }
        mStore.get(PREFIX, true)
                .thenAcceptAsync(
                        r -> {
                            if (r instanceof ReadResult.Found f) {
                                f.values().forEach(v -> read(v, reader));
                                once.run();
                            } else {
                                mLoop.schedule(
                                        () -> load(reader, once),
                                        RETRY_MILLIS,
                                        TimeUnit.MILLISECONDS);
                            }
                        },
                        mLoop);
    }

    private void read(Versioned v, Reader reader) {
        try {
            long started = Long.parseLong(new String(v.value(), StandardCharsets.UTF_8));
            reader.left(v.key().substring(PREFIX.length()), started);
        } catch (NumberFormatException e) {
            mEvents.record(
                    EventType.ENTRY_UNREADABLE,
                    Map.of("key", v.key(), "reason", "not a time: " + e.getMessage()));
        }
    }

    /**
     * Writes a record.
     *
     * @param serverId id of the server
     * @param startedAtMillis its incarnation
     * @param done runs once, when it is written or the store has not answered in time
     */
    public void write(String serverId, long startedAtMillis, Runnable done) {
        Once once = new Once(done);
        mLoop.schedule(once, WRITE_MILLIS, TimeUnit.MILLISECONDS);
        mStore.grantLease(LIFE)
                .thenAcceptAsync(
                        r -> {
                            if (r instanceof LeaseResult.Held h) {
                                write(serverId, startedAtMillis, h.id(), once);
                            } else {
                                notWritten(serverId, r.toString(), once);
                            }
                        },
                        mLoop);
    }

    private void write(String serverId, long startedAtMillis, long lease, Once once) {
        byte[] value = Long.toString(startedAtMillis).getBytes(StandardCharsets.UTF_8);
        mStore.compareAndSwap(PREFIX + serverId, PlatformStore.ABSENT, value, lease)
                .thenAcceptAsync(
                        r -> {
                            boolean held =
                                    r instanceof WriteResult.Applied
                                            || r instanceof WriteResult.Conflict;
                            if (held) {
                                once.run();
                            } else {
                                notWritten(serverId, r.toString(), once);
                            }
                        },
                        mLoop);
    }

    /** Only a restart of this node within the next seconds would need the record. */
    private void notWritten(String serverId, String reason, Once once) {
        mEvents.record(EventType.LEAVE_NOT_RECORDED, Map.of("server", serverId, "reason", reason));
        once.run();
    }

    private static final class Once implements Runnable {
        private final Runnable mAction;
        private boolean mRan;

        Once(Runnable action) {
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
