package io.azurestage.bench;

import io.azurestage.bench.standin.StandInStore;
import io.azurestage.bench.standin.StandInStoreFault;
import io.azurestage.config.AcceptedConfig;
import io.azurestage.config.MeshConfig;
import io.azurestage.store.ConfigPublisher;
import io.azurestage.store.ConfigVersions;
import io.azurestage.store.EtcdStore;
import io.azurestage.store.LeaseResult;
import io.azurestage.store.PlatformStore;
import io.azurestage.store.Push;
import io.azurestage.store.PushResult;
import io.azurestage.store.ReadResult;
import io.azurestage.store.WatchEvent;
import io.azurestage.store.WriteResult;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/** Pushes a configuration as the command-line tool does and measures its propagation time. */
final class PushTrial {
    /** Number of nodes of each data centre that the command-line tool sends a record to. */
    private static final int NODES_PER_DATA_CENTRE = 3;

    private static final Duration STORE_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration SPREAD_LIMIT = Duration.ofSeconds(10);
    private static final long POLL_MILLIS = 25;

    private final StandInStore mStore;
    private final AdminClient mAdmin;
    private final ConfigWatch mWatch;

    PushTrial(StandInStore store, AdminClient admin, ConfigWatch watch) {
        mStore = store;
        mAdmin = admin;
        mWatch = watch;
    }

    /** Publishes a configuration to the store; a result other than accepted gives the reason. */
    PushResult publish(MeshConfig config) {
        try (PlatformStore client = EtcdStore.connect(List.of(mStore.uri()), STORE_TIMEOUT)) {
            return new ConfigPublisher(client).push(Push.of(config, "bench")).join();
        }
    }

    /**
     * Publishes a configuration and makes the store fail right after it has accepted the version.
     */
    PushResult publishAndFail(MeshConfig config) {
        // Nodes must not learn of the version by a watch between the acceptance and the failure.
        mStore.enableFault(StandInStoreFault.WATCH_REFUSED);
        mStore.disconnectWatches();
        try (PlatformStore client =
                new FailAfterSwapStore(
                        EtcdStore.connect(List.of(mStore.uri()), STORE_TIMEOUT), mStore)) {
            return new ConfigPublisher(client).push(Push.of(config, "bench")).join();
        }
    }

    /** Clears the store faults that {@link #publishAndFail} injects. */
    void clearFaults() {
        mStore.disableFault(StandInStoreFault.WATCH_REFUSED);
        mStore.disableFault(StandInStoreFault.REFUSED);
    }

    /**
     * Sends a record to a few nodes of each data centre and waits until all nodes report it.
     * Exactly one {@link StatusPoller} must feed the watch meanwhile: two could record reports out
     * of order, which would count as a revert.
     *
     * @return milliseconds from the acceptance until all nodes reported the version, or -1 if that
     *     takes longer than 10 s
     */
    long spread(AcceptedConfig record, Map<NodeEndpoints, String> dataCentres) {
        Collection<NodeEndpoints> nodes = dataCentres.keySet();
        long accepted = record.acceptedAt().toEpochMilli();
        selectPerDataCentre(dataCentres).forEach(node -> mAdmin.sendRecord(node, record.toJson()));
        long end = System.nanoTime() + SPREAD_LIMIT.toNanos();
        long spread = mWatch.spreadMs(record.number(), accepted, nodes);
        while (spread < 0 && System.nanoTime() < end) {
            Sleep.millis(POLL_MILLIS);
            spread = mWatch.spreadMs(record.number(), accepted, nodes);
        }
        return spread;
    }

    static List<NodeEndpoints> selectPerDataCentre(Map<NodeEndpoints, String> dataCentres) {
        Map<String, Integer> taken = new HashMap<>();
        List<NodeEndpoints> some = new ArrayList<>();
        dataCentres.forEach(
                (node, dataCentre) -> {
                    if (taken.merge(dataCentre, 1, Integer::sum) <= NODES_PER_DATA_CENTRE) {
                        some.add(node);
                    }
                });
        return some;
    }

    /** Store client that closes the port of the stand-in store once it has accepted a version. */
    private record FailAfterSwapStore(PlatformStore store, StandInStore standIn)
            implements PlatformStore {
        @Override
        public CompletableFuture<ReadResult> get(String key, boolean prefix) {
            return store.get(key, prefix);
        }

        @Override
        public CompletableFuture<WriteResult> compareAndSwap(
                String key, long expected, byte[] value, long lease) {
            return store.compareAndSwap(key, expected, value, lease)
                    .thenApplyAsync(
                            result -> {
                                if (key.equals(ConfigVersions.CURRENT_KEY)) {
                                    standIn.enableFault(StandInStoreFault.REFUSED);
                                }
                                return result;
                            });
        }

        @Override
        public CompletableFuture<LeaseResult> grantLease(Duration timeToLive) {
            return store.grantLease(timeToLive);
        }

        @Override
        public CompletableFuture<LeaseResult> keepAlive(long lease) {
            return store.keepAlive(lease);
        }

        @Override
        public AutoCloseable watch(
                String key, boolean prefix, long fromRevision, Consumer<WatchEvent> consumer) {
            return store.watch(key, prefix, fromRevision, consumer);
        }

        @Override
        public void close() {
            store.close();
        }
    }
}
