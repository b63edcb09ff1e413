package io.azurestage.relay.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import io.azurestage.core.event.EventLog;
import io.azurestage.core.time.HybridClock;
import io.azurestage.core.time.TimeSource;
import io.azurestage.relay.Loop;
import io.azurestage.relay.MapStore;
import io.azurestage.store.Versioned;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class PrefixFeedTest {
    private static final String ODD = "k/odd";

    private final Loop mLoop = new Loop();
    private final MapStore mStore = new MapStore();
    private final Set<String> mKnown = ConcurrentHashMap.newKeySet();
    private final Set<String> mFailing = ConcurrentHashMap.newKeySet(4);
    private final PrefixFeed mFeed =
            new PrefixFeed(
                    mLoop.loop(),
                    mStore,
                    "k/",
                    new PrefixFeed.Listener() {
                        @Override
                        public void listed(List<Versioned> values) {
                            values.forEach(this::put);
                        }

                        @Override
                        public void put(Versioned value) {
                            if (mFailing.contains(value.key())) {
                                throw new IllegalStateException("fails for " + value.key());
                            }
                            mKnown.add(value.key());
                        }

                        @Override
                        public void removed(String key) {
                            mKnown.remove(key);
                        }
                    },
                    new EventLog("n", new HybridClock(TimeSource.system()), 10, e -> {}));

    @AfterEach
    void close() {
        mLoop.close();
    }

    // Guards against a failure of a listener that ends the watch: the node stopped following.
    @Test
    void changesAreFollowedAfterAFailureOfTheListener() throws Exception {
        mLoop.run(mFeed::start);
        mFailing.add(ODD);
        mStore.put(ODD, new byte[0]);
        mLoop.run(() -> {});
        mFailing.clear();
        mStore.put("k/a", new byte[0]);
        Loop.await("both keys", () -> mKnown.equals(Set.of(ODD, "k/a")));
    }

    @Test
    void listingIsRepeatedAfterAFailureOfTheListener() throws Exception {
        mFailing.add(ODD);
        mStore.put(ODD, new byte[0]);
        mLoop.run(mFeed::start);
        mLoop.run(() -> {});
        assertThat(mKnown).isEmpty();
        mFailing.clear();
        Loop.await("the key", () -> mKnown.contains(ODD));
    }
}
