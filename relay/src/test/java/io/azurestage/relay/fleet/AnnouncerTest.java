package io.azurestage.relay.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import io.azurestage.core.backend.BackendServer;
import io.azurestage.core.backend.BackendState;
import io.azurestage.core.backend.ServerEntry;
import io.azurestage.core.context.NodeIdentity;
import io.azurestage.core.event.EventLog;
import io.azurestage.core.time.HybridClock;
import io.azurestage.core.time.ManualTimeSource;
import io.azurestage.relay.Loop;
import io.azurestage.relay.MapStore;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class AnnouncerTest {
    private static final String KEY = "azurestage/nodes/n";

    private final Loop mLoop = new Loop();
    private final MapStore mStore = new MapStore();

    /** Stands still, so that no renewal is due. */
    private final ManualTimeSource mTime = new ManualTimeSource();

    private final Announcer mAnnouncer =
            new Announcer(
                    mLoop.loop(),
                    mTime,
                    mStore,
                    KEY,
                    new EventLog("n", new HybridClock(mTime), 10, e -> {}));

    @AfterEach
    void close() {
        mLoop.close();
    }

    private void announce(BackendState state) throws Exception {
        BackendServer server = new BackendServer("s", 5, "books", "10.0.0.1:80", 15, state);
        NodeIdentity node = new NodeIdentity("n", 1);
        mLoop.run(
                () ->
                        mAnnouncer.announce(
                                new ServerEntry(node, "10.0.0.1:7000", "dc", "r", server)));
        awaitState(state);
    }

    private void awaitState(BackendState state) {
        Loop.await(
                "the entry is " + state,
                () -> mStore.has(KEY) && mStore.text(KEY).contains(state.name()));
    }

    // Guards against an entry that is missing, or an older one, until the next renewal.
    @Test
    void entryIsWrittenAtOnceAfterTheStoreCameBackFromACopy() throws Exception {
        mStore.takeCopy();
        announce(BackendState.READY);
        long lease = mStore.lease(KEY);
        mStore.restoreCopy();
        awaitState(BackendState.READY);
        assertThat(mStore.lease(KEY)).isGreaterThan(lease);
    }

    @Test
    void olderEntryOfTheCopyIsReplaced() throws Exception {
        announce(BackendState.READY);
        mStore.takeCopy();
        announce(BackendState.DRAINING);
        mStore.restoreCopy();
        awaitState(BackendState.DRAINING);
    }
}
