package io.azurestage.store;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/**
 * The platform's key-value service. Futures never complete exceptionally: failures are results.
 * Thread-safe.
 */
public interface PlatformStore extends AutoCloseable {
    /** Revision of a key that does not exist. */
    long ABSENT = 0;

    /** Lease id of a write that is not bound to a lease. */
    long NO_LEASE = 0;

    /**
     * Reads one key or all keys with a prefix, in one linearizable call.
     *
     * @param key the key or the prefix
     * @param prefix true to read all keys that start with it
     * @return the values found, or that the service is unavailable
     */
    CompletableFuture<ReadResult> get(String key, boolean prefix);

    /**
     * Writes a key if its revision is as expected.
     *
     * @param key the key
     * @param expectedRevision revision last read, or {@link #ABSENT}
     * @param value new value, at most 1 MB
     * @param lease lease that the key is bound to, or {@link #NO_LEASE}
     * @return the outcome
     */
    CompletableFuture<WriteResult> compareAndSwap(
            String key, long expectedRevision, byte[] value, long lease);

    /**
     * Grants a lease.
     *
     * @param timeToLive time until the lease expires unless it is renewed, at least one second
     * @return the outcome
     */
    CompletableFuture<LeaseResult> grantLease(Duration timeToLive);

    /**
     * Renews a lease.
     *
     * @param lease id of the lease
     * @return the outcome
     */
    CompletableFuture<LeaseResult> keepAlive(long lease);

    /**
     * Watches one key or all keys with a prefix.
     *
     * @param key the key or the prefix
     * @param prefix true to watch all keys that start with it
     * @param fromRevision revision of the first change to report
     * @param listener receives the events in order; {@link WatchEvent.Broken} is the last one
     * @return a handle to close the watch
     */
    AutoCloseable watch(
            String key, boolean prefix, long fromRevision, Consumer<WatchEvent> listener);

    /**
     * Sets how soon the watches of a prefix notice that their connection has fallen silent. A
     * shorter time takes more calls. Services that notice it at once ignore this.
     *
     * @param prefix the prefix of the watches
     * @param interval longest time without an answer of the service
     */
    default void checkWatches(String prefix, Duration interval) {}

    /**
     * Adds a listener that is called after the service was restored from an older copy of its data.
     * At that moment all watches have ended, without a further event. Leases that were granted
     * before count as lapsed, and revisions that were read before must not be used again. Services
     * that cannot lose data never call it.
     *
     * @param listener receives each reset, on the thread of the client's results
     */
    default void onReset(Consumer<StoreReset> listener) {}

    /** Closes the connections. */
    @Override
    void close();
}
