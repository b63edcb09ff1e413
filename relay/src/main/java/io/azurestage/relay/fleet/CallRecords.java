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
 * Operations that backend servers call, kept in the store. A node tells such calls from requests of
 * clients by traffic, which takes seconds; after a loss of power all nodes would have to learn it
 * again while the load is at its worst. Used on the event loop only.
 */
public final class CallRecords {
    private static final String PREFIX = "azurestage/called/";

    /** The store takes keys of 200 bytes; longer names are learnt again after a restart. */
    private static final int MAX_KEY_BYTES = 200;

    private static final long RETRY_MILLIS = 300;

    /** Traffic shows the same within seconds, so later reads would add nothing. */
    private static final int MAX_READS = 20;

    private final EventLoop mLoop;
    private final PlatformStore mStore;
    private final EventLog mEvents;
    private final Set<String> mRecorded = new HashSet<>();

    /**
     * Creates the access to the records.
     *
     * @param loop the event loop
     * @param store the store
     * @param events log of events
     */
    public CallRecords(EventLoop loop, PlatformStore store, EventLog events) {
        mLoop = loop;
        mStore = store;
        mEvents = events;
    }

    /**
     * Reads all records.
     *
     * @param reader takes the name of each operation
     */
    public void load(Consumer<String> reader) {
        load(reader, MAX_READS);
    }

    private void load(Consumer<String> reader, int reads) {
        mStore.get(PREFIX, true)
                .thenAcceptAsync(
                        r -> {
                            if (r instanceof ReadResult.Found f) {
                                f.values().forEach(v -> read(v.key(), reader));
                            } else if (reads > 1) {
                                mLoop.schedule(
                                        () -> load(reader, reads - 1),
                                        RETRY_MILLIS,
                                        TimeUnit.MILLISECONDS);
                            } else {
                                mEvents.record(
                                        EventType.STORE_DOWN,
                                        Map.of("prefix", PREFIX, "reason", "not read"));
                            }
                        },
                        mLoop);
    }

    private void read(String key, Consumer<String> reader) {
        String operation = key.substring(PREFIX.length());
        mRecorded.add(operation);
        reader.accept(operation);
    }

    /**
     * Records an operation, once.
     *
     * @param operation operation that servers call
     */
    public void write(String operation) {
        if (!mRecorded.add(operation)) {
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
                            boolean held =
                                    r instanceof WriteResult.Applied
                                            || r instanceof WriteResult.Conflict;
                            if (!held) {
                                // The next answer of the operation tries again.
                                mLoop.schedule(
                                        () -> mRecorded.remove(operation),
                                        RETRY_MILLIS,
                                        TimeUnit.MILLISECONDS);
                            }
                        },
                        mLoop);
    }
}
