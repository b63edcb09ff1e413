package io.azurestage.node;

import io.azurestage.config.AcceptedConfig;
import io.azurestage.config.ConfigException;
import io.azurestage.core.event.EventLog;
import io.azurestage.core.event.EventType;
import io.azurestage.core.membership.Member;
import io.azurestage.core.spread.ConfigRecord;
import io.azurestage.core.spread.StoreView;
import io.azurestage.core.spread.Watchers;
import io.azurestage.core.time.TimeSource;
import io.azurestage.mesh.Mesh;
import io.azurestage.store.PlatformStore;
import io.azurestage.store.ReadResult;
import io.azurestage.store.Versioned;
import io.azurestage.store.WatchEvent;
import io.azurestage.store.WriteResult;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * Synchronizes the configuration and the seeds with the platform's key-value store. Each node reads
 * both when it starts; afterwards only the watchers of its data centre use the store.
 *
 * <p>Not thread-safe: except for the constructor and {@link #close}, everything runs on one event
 * loop.
 */
final class StoreSync {
    // 1,400 nodes that start at the same time read twice each; spread over this period they stay
    // below 2,000 reads per second.
    private static final Duration START_SPREAD = Duration.ofMillis(1_500);
    private static final Duration MIN_BACKOFF = Duration.ofMillis(250);
    private static final Duration MAX_BACKOFF = Duration.ofSeconds(10);
    private static final Duration SEED_REFRESH_INTERVAL = Duration.ofSeconds(5);

    private final NodeSettings mSettings;
    private final PlatformStore mStore;
    private final Mesh mMesh;
    private final TimeSource mTime;
    private final RandomGenerator mRandom;
    private final EventLog mEvents;
    private final Consumer<Runnable> mEventLoop;
    private final Map<String, Versioned> mSeeds = new HashMap<>();
    private List<Member> mRankedMembers = List.of();
    private OptionalInt mWatcherRank = OptionalInt.empty();
    private boolean mRead;
    private boolean mRequestPending;
    private boolean mWatching;
    private boolean mStoreDown;
    private boolean mServing;
    private AutoCloseable mWatch = () -> {};
    private long mNextReadNanos;
    private long mNextSeedRefreshNanos;
    private Duration mBackoff = MIN_BACKOFF;

    StoreSync(
            NodeSettings settings,
            PlatformStore store,
            Mesh mesh,
            TimeSource time,
            RandomGenerator random,
            EventLog events,
            Consumer<Runnable> eventLoop) {
        mSettings = settings;
        mStore = store;
        mMesh = mesh;
        mTime = time;
        mRandom = random;
        mEvents = events;
        mEventLoop = eventLoop;
        // A single restarted node waits for half of the spread on average.
        mNextReadNanos = time.nanos() + random.nextLong(START_SPREAD.toNanos());
        mNextSeedRefreshNanos = mNextReadNanos;
    }

    /** Reports whether the store has been read and need not be read again. */
    boolean hasReadStore() {
        return mRead;
    }

    /** Reports whether the store lists other nodes to join through. */
    boolean hasSeeds() {
        return mSeeds.values().stream()
                .flatMap(v -> Seeds.parse(v.value()).seeds().stream())
                .anyMatch(s -> !s.nodeId().equals(mSettings.nodeId()));
    }

    /** Notes that the node accepts calls: it now reads the store only if it is a watcher. */
    void onServing() {
        mServing = true;
    }

    void tick() {
        boolean watcher = watcherRank().isPresent();
        if (!watcher && mWatching) {
            stopWatching();
        }
        long now = mTime.nanos();
        boolean needed = !mRead && !mServing || watcher && !mWatching;
        if (needed && !mRequestPending && now - mNextReadNanos >= 0) {
            read(watcher);
        } else if (mRead && !mRequestPending && now - mNextSeedRefreshNanos >= 0) {
            mNextSeedRefreshNanos = now + jittered(SEED_REFRESH_INTERVAL).toNanos();
            refreshSeeds(mMesh.members());
        }
    }

    private boolean isFirstWatcher() {
        OptionalInt rank = watcherRank();
        return rank.isPresent() && rank.getAsInt() == 0;
    }

    /** Ranks the members only when they have changed, as the cost grows with their number. */
    private OptionalInt watcherRank() {
        List<Member> members = mMesh.members();
        if (members != mRankedMembers) {
            mRankedMembers = members;
            mWatcherRank = Watchers.place(members, mSettings.nodeId());
        }
        return mWatcherRank;
    }

    private void read(boolean watcher) {
        mRequestPending = true;
        mStore.get(StoreKeys.CONFIG, false)
                .thenCombine(mStore.get(StoreKeys.SEEDS, true), Reads::new)
                .thenAccept(reads -> mEventLoop.accept(() -> onRead(reads, watcher)));
    }

    private record Reads(ReadResult config, ReadResult seeds) {}

    private void onRead(Reads reads, boolean watcher) {
        mRequestPending = false;
        if (reads.config() instanceof ReadResult.Found config
                && reads.seeds() instanceof ReadResult.Found seeds) {
            onFound(config, seeds, watcher);
        } else {
            onStoreFailure(reads.config().toString());
        }
    }

    private void onFound(ReadResult.Found config, ReadResult.Found seeds, boolean watcher) {
        onStoreReachable();
        Optional<Versioned> value = config.values().stream().findFirst();
        Optional<ConfigRecord> stored = Optional.empty();
        if (value.isPresent()) {
            stored = parse(value.get());
            if (stored.isEmpty()) {
                return;
            }
        }
        seeds.values().forEach(this::onSeeds);
        reconcile(stored, value.map(Versioned::revision).orElse(PlatformStore.ABSENT));
        mRead = true;
        if (watcher && !mWatching) {
            startWatching(config.revision() + 1);
        }
    }

    private void onSeeds(Versioned v) {
        mSeeds.put(v.key(), v);
        mMesh.addSeeds(Seeds.parse(v.value()).addresses());
    }

    private Optional<ConfigRecord> parse(Versioned v) {
        try {
            String json = new String(v.value(), StandardCharsets.UTF_8);
            return Optional.of(ConfigRecords.fromStore(AcceptedConfig.parse(json)));
        } catch (ConfigException e) {
            mEvents.record(
                    EventType.CONFIG_REFUSED, Map.of("reason", String.valueOf(e.getMessage())));
            onStoreFailure("the configuration in the store cannot be read");
            return Optional.empty();
        }
    }

    private void reconcile(Optional<ConfigRecord> stored, long revision) {
        StoreView view = StoreView.of(mMesh.config(), stored, isFirstWatcher());
        if (view instanceof StoreView.Adopt adopt) {
            mMesh.offerConfig(adopt.record());
        } else if (view instanceof StoreView.Behind behind) {
            String inForce = String.valueOf(behind.inForce().number());
            mEvents.record(EventType.STORE_BEHIND, Map.of("inForce", inForce));
            if (behind.writeBack()) {
                writeBack(behind.inForce(), revision);
            }
        }
    }

    private void writeBack(ConfigRecord record, long revision) {
        byte[] json = ConfigRecords.toStore(record).toJson().getBytes(StandardCharsets.UTF_8);
        mStore.compareAndSwap(StoreKeys.CONFIG, revision, json, PlatformStore.NO_LEASE)
                .thenAccept(
                        r -> {
                            if (r instanceof WriteResult.Applied) {
                                mEvents.record(
                                        EventType.STORE_RESTORED,
                                        Map.of("number", String.valueOf(record.number())));
                            }
                        });
    }

    private void startWatching(long fromRevision) {
        mWatching = true;
        AutoCloseable config =
                mStore.watch(StoreKeys.CONFIG, false, fromRevision, this::onWatchEvent);
        AutoCloseable seeds = mStore.watch(StoreKeys.SEEDS, true, fromRevision, this::onWatchEvent);
        mWatch =
                () -> {
                    config.close();
                    seeds.close();
                };
    }

    private void onWatchEvent(WatchEvent e) {
        mEventLoop.accept(() -> applyWatchEvent(e));
    }

    private void applyWatchEvent(WatchEvent e) {
        if (e instanceof WatchEvent.Put put) {
            Versioned v = put.value();
            if (v.key().startsWith(StoreKeys.SEEDS)) {
                onSeeds(v);
            } else {
                parse(v).ifPresent(r -> reconcile(Optional.of(r), v.revision()));
            }
        } else if (e instanceof WatchEvent.Removed removed) {
            mSeeds.remove(removed.key());
            if (removed.key().equals(StoreKeys.CONFIG)) {
                reconcile(Optional.empty(), PlatformStore.ABSENT);
            }
        } else if (e instanceof WatchEvent.Broken broken && mWatching) {
            stopWatching();
            onStoreFailure(broken.reason());
        }
    }

    private void stopWatching() {
        mWatching = false;
        try {
            mWatch.close();
        } catch (Exception e) {
            mEvents.record(EventType.STORE_DOWN, Map.of("reason", "the watch does not close"));
        }
        mWatch = () -> {};
    }

    private void refreshSeeds(List<Member> members) {
        if (!isFirstWatcher()) {
            return;
        }
        String key = StoreKeys.SEEDS + mSettings.dataCentre();
        Versioned old = mSeeds.get(key);
        Seeds before = old == null ? new Seeds(List.of()) : Seeds.parse(old.value());
        Seeds next = before.refreshed(members, mSettings.dataCentre());
        if (next.equals(before)) {
            return;
        }
        mRequestPending = true;
        byte[] json = next.json();
        long revision = old == null ? PlatformStore.ABSENT : old.revision();
        mStore.compareAndSwap(key, revision, json, PlatformStore.NO_LEASE)
                .thenAccept(r -> mEventLoop.accept(() -> onSeedsWritten(key, json, r)));
    }

    private void onSeedsWritten(String key, byte[] json, WriteResult r) {
        mRequestPending = false;
        if (r instanceof WriteResult.Applied applied) {
            onStoreReachable();
            mSeeds.put(key, new Versioned(key, json, applied.revision()));
        } else {
            // Conflict or unknown outcome: the value may have changed, so read it before the next
            // try.
            mRead = false;
            mServing = false;
            mNextReadNanos = mTime.nanos() + jittered(mBackoff).toNanos();
        }
    }

    private void onStoreReachable() {
        mBackoff = MIN_BACKOFF;
        if (mStoreDown) {
            mStoreDown = false;
            mEvents.record(EventType.STORE_UP, Map.of());
        }
    }

    private void onStoreFailure(String reason) {
        if (!mStoreDown) {
            mStoreDown = true;
            mEvents.record(EventType.STORE_DOWN, Map.of("reason", reason));
        }
        mNextReadNanos = mTime.nanos() + jittered(mBackoff).toNanos();
        Duration doubled = mBackoff.multipliedBy(2);
        mBackoff = doubled.compareTo(MAX_BACKOFF) > 0 ? MAX_BACKOFF : doubled;
    }

    /** Returns 50 to 150 % of the duration, so that nodes do not return to the store in step. */
    private Duration jittered(Duration d) {
        return Duration.ofNanos(d.toNanos() / 2 + mRandom.nextLong(d.toNanos()));
    }

    void close() {
        if (mWatching) {
            stopWatching();
        }
        mStore.close();
    }
}
