package io.azurestage.relay.fleet;

import io.azurestage.core.event.EventLog;
import io.azurestage.core.event.EventType;
import io.azurestage.store.PlatformStore;
import io.azurestage.store.ReadResult;
import io.azurestage.store.WriteResult;
import io.netty.channel.EventLoop;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Stores the names of the operations that backend servers call. A node distinguishes such calls
 * from client requests by observing traffic, which takes seconds; without these records all nodes
 * would have to learn it again after a power failure, when load is highest. Not thread-safe; use it
 * on the event loop only.
 */
public final class CallRecords {
    private static final String PREFIX = "azurestage/called/";

    /** Key limit of the store; operations with longer names are learnt again after a restart. */
    private static final int MAX_KEY_BYTES = 200;

    private static final long RETRY_DELAY_MILLIS = 300;

    /**
     * Observed traffic gives the same result within seconds, so further attempts are not needed.
     */
    private static final int MAX_READ_ATTEMPTS = 20;

    private final EventLoop mLoop;
    private final PlatformStore mStore;
    private final EventLog mEvents;
    private final Set<String> mRecorded = new HashSet<>();

    /** Reads that have not ended; operations are written only when it is known which are there. */
    private int mReading;

    /**
     * Creates an accessor for the records.
     *
     * @param loop event loop that runs all callbacks
     * @param store the platform's store
     * @param events event log
     */
    public CallRecords(EventLoop loop, PlatformStore store, EventLog events) {
        mLoop = loop;
        mStore = store;
        mEvents = events;
        store.onReset(r -> loop.execute(this::reload));
    }

    /** Reads what the store still holds; the next response of any other operation writes it. */
    private void reload() {
        mRecorded.clear();
        load(operation -> {});
    }

    /**
     * Reads all records, with retries while the store is unavailable.
     *
     * @param reader receives the name of each operation
     */
    public void load(Consumer<String> reader) {
        mReading++;
        load(reader, MAX_READ_ATTEMPTS);
    }

    private void load(Consumer<String> reader, int attemptsLeft) {
        mStore.get(PREFIX, true)
                .thenAcceptAsync(
                        r -> {
                            if (r instanceof ReadResult.Found f) {
                                mReading--;
                                f.values().forEach(v -> loadRecord(v.key(), reader));
                            } else if (attemptsLeft > 1) {
                                mLoop.schedule(
                                        () -> load(reader, attemptsLeft - 1),
                                        RETRY_DELAY_MILLIS,
                                        TimeUnit.MILLISECONDS);
                            } else {
                                mReading--;
                                mEvents.record(
                                        EventType.STORE_DOWN,
                                        Map.of("prefix", PREFIX, "reason", "not read"));
                            }
                        },
                        mLoop);
    }

    private void loadRecord(String key, Consumer<String> reader) {
        String operation = key.substring(PREFIX.length());
        mRecorded.add(operation);
        reader.accept(operation);
    }

    /**
     * Records an operation unless it has been recorded already.
     *
     * @param operation name of an operation that backend servers call
     */
    public void write(String operation) {
        if (mReading > 0 || !mRecorded.add(operation)) {
            return;
        }
        byte[] value = operation.getBytes(StandardCharsets.UTF_8);
        if (PREFIX.length() + value.length > MAX_KEY_BYTES) {
            return;
        }
        mStore.compareAndSwap(
                        PREFIX + operation, PlatformStore.ABSENT, value, PlatformStore.NO_LEASE)
                .thenAcceptAsync(
                        r -> {
                            boolean recorded =
                                    r instanceof WriteResult.Applied
                                            || r instanceof WriteResult.Conflict;
                            if (!recorded) {
                                // The next response of this operation triggers another write.
                                mLoop.schedule(
                                        () -> mRecorded.remove(operation),
                                        RETRY_DELAY_MILLIS,
                                        TimeUnit.MILLISECONDS);
                            }
                        },
                        mLoop);
    }
}
