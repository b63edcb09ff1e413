package io.azurestage.relay.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import io.azurestage.core.backend.BackendServer;
import io.azurestage.core.backend.BackendState;
import io.azurestage.core.backend.ServerEntry;
import io.azurestage.core.backend.ServerEntryTable;
import io.azurestage.core.context.NodeIdentity;
import io.azurestage.core.event.EventLog;
import io.azurestage.core.routing.Router;
import io.azurestage.core.time.HybridClock;
import io.azurestage.core.time.ManualTimeSource;
import io.azurestage.mesh.Address;
import io.azurestage.relay.Loop;
import io.azurestage.relay.TestCalls;
import io.azurestage.relay.call.CallSpec;
import io.azurestage.relay.call.CallTarget;
import io.azurestage.relay.link.LinkClient;
import io.azurestage.relay.link.LinkSelf;
import io.azurestage.relay.link.QuotaPeer;
import io.azurestage.store.Versioned;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.FutureTask;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class FleetDirectoryTest {
    private static final String OWN_KEY = "nodes/own";
    private static final String OWN_LINK = "10.0.0.1:7000";

    private final ManualTimeSource mTime = new ManualTimeSource();
    private final CallTarget mOwnTarget = (spec, listener) -> () -> {};
    private final AtomicInteger mOwnEntryMissing = new AtomicInteger();
    private final Set<String> mLinked = new HashSet<>();
    private final Loop mLoop = new Loop();
    private final FleetDirectory mDirectory =
            new FleetDirectory(
                    new ServerEntryTable(mTime, Duration.ofSeconds(2)),
                    new Router("dc", "r", mTime, new Random(1)),
                    this::link,
                    OWN_KEY,
                    OWN_LINK,
                    mOwnTarget,
                    mOwnEntryMissing::incrementAndGet,
                    new EventLog("n", new HybridClock(mTime), 10, e -> {}));

    @AfterEach
    void close() {
        mLoop.close();
    }

    private LinkClient link(String address) {
        mLinked.add(address);
        LinkSelf self =
                new LinkSelf(
                        new NodeIdentity("n", 1),
                        () -> 1,
                        () -> 0,
                        Optional::empty,
                        d -> {},
                        QuotaPeer.NONE,
                        (server, started) -> {});
        return new LinkClient(
                mLoop.loop(),
                mTime,
                Address.parse(address).orElseThrow(),
                self,
                (a, up, reason) -> {});
    }

    private static CallSpec call() {
        return TestCalls.first("books", new byte[0], Long.MAX_VALUE, true);
    }

    private static Versioned entryOf(String node, String link, String service) {
        ServerEntry e =
                new ServerEntry(
                        new NodeIdentity(node, 1),
                        link,
                        "dc",
                        "r",
                        new BackendServer(node, 1, service, "10.0.0.1:80", 15, BackendState.READY));
        return new Versioned("nodes/" + node, EntryCodec.encode(e), 1);
    }

    private static Versioned ownEntry(long incarnation, long serverStarted, BackendState state) {
        ServerEntry e =
                new ServerEntry(
                        new NodeIdentity("n", incarnation),
                        OWN_LINK,
                        "dc",
                        "r",
                        new BackendServer("s", serverStarted, "books", "10.0.0.1:80", 15, state));
        return new Versioned(OWN_KEY, EntryCodec.encode(e), 1);
    }

    private boolean isRoutable() {
        return mDirectory.choose("books", Set.of()).isPresent();
    }

    @Nested
    class Restarts {
        /** Incarnations are wall-clock times, so setting the clock back gives a lower one. */
        @Test
        void restartedNodeWithALowerIncarnationIsChosen() {
            mDirectory.listed(List.of(ownEntry(9_000, 5, BackendState.READY)));
            assertThat(isRoutable()).isTrue();
            mDirectory.put(ownEntry(2_000, 5, BackendState.READY));
            assertThat(isRoutable()).isTrue();
        }

        @Test
        void serverThatHasLeftIsNotChosen() {
            mDirectory.listed(List.of(ownEntry(9_000, 5, BackendState.READY)));
            mDirectory.put(ownEntry(9_000, 5, BackendState.GONE));
            assertThat(isRoutable()).isFalse();
        }
    }

    /** Entries of another writer beside those of the nodes. */
    @Nested
    class OddEntries {
        private static final int PARSER_DEPTH = 900;
        private static final int TOO_DEEP = 200_000;

        /** Thread stacks of a deployed node have this size. */
        private static final long STACK_BYTES = 256 << 10;

        private static String nested(int depth) {
            return "{\"later\":" + "[".repeat(depth) + "]".repeat(depth) + ",";
        }

        /** Returns a node's entry in which a text is replaced, under a key of its own. */
        private Versioned odd(String text, String replacement) {
            String entry =
                    new String(entryOf("m", OWN_LINK, "books").value(), StandardCharsets.UTF_8);
            assertThat(entry).contains(text);
            String changed = entry.replace(text, replacement);
            return new Versioned("nodes/odd", changed.getBytes(StandardCharsets.UTF_8), 1);
        }

        private List<Versioned> invalidEntries() {
            return List.of(
                    odd("\"startedAtMillis\":1", "\"startedAtMillis\":9223372036854775808"),
                    odd("\"startedAtMillis\":1", "\"startedAtMillis\":-9223372036854775808"),
                    odd("\"startedAtMillis\":1", "\"startedAtMillis\":9223372036854775807"),
                    odd("\"startedAtMillis\":1", "\"startedAtMillis\":1e300"),
                    odd("\"startedAtMillis\":1", "\"startedAtMillis\":\"1\""),
                    odd("\"incarnation\":1", "\"incarnation\":99999999999999999999"),
                    odd("\"slots\":15", "\"slots\":99999999999"),
                    odd("\"slots\":15", "\"slots\":1e300"),
                    odd("\"slots\":15", "\"slots\":2147483647"),
                    odd("\"slots\":15", "\"slots\":" + "9".repeat(5_000)),
                    odd(OWN_LINK, "10.0.0.9:70000"),
                    odd(OWN_LINK, "10.0.0.9:99999999999"),
                    odd(OWN_LINK, "10.0.0.9:0"),
                    odd("10.0.0.1:80", "10.0.0.1:70000"),
                    odd("{\"nodeId\"", nested(TOO_DEEP) + "\"nodeId\""));
        }

        private void runOnSmallStack(Runnable task) throws Exception {
            FutureTask<Void> done = new FutureTask<>(task, null);
            new Thread(null, done, "small-stack", STACK_BYTES).start();
            done.get();
        }

        // Guards against one entry of another writer that ends a node or keeps it from following
        // the list: each change of the list failed while the entry was there.
        @Test
        void invalidEntryNamesNoServerAndTheOthersAreFollowed() throws Exception {
            for (Versioned odd : invalidEntries()) {
                runOnSmallStack(() -> followBeside(odd));
            }
        }

        private void followBeside(Versioned odd) {
            String text = new String(odd.value(), StandardCharsets.UTF_8);
            String shown = text.substring(0, Math.min(200, text.length()));
            mDirectory.listed(List.of(odd, entryOf("a", OWN_LINK, "books")));
            assertThat(isRoutable()).as(shown).isTrue();
            mDirectory.put(odd);
            mDirectory.removed("nodes/a");
            mTime.advance(Duration.ofSeconds(3));
            mDirectory.tick();
            assertThat(isRoutable()).as(shown).isFalse();
            mDirectory.put(entryOf("b", OWN_LINK, "books"));
            assertThat(isRoutable()).as(shown).isTrue();
        }

        @Test
        void deepValueOfAnUnknownFieldIsIgnored() throws Exception {
            Versioned deep = odd("{\"nodeId\"", nested(PARSER_DEPTH) + "\"nodeId\"");
            runOnSmallStack(() -> mDirectory.listed(List.of(deep)));
            assertThat(isRoutable()).isTrue();
        }
    }

    @Nested
    class Links {
        /**
         * Load pattern: rolling restart under load. A call that fails in a tick is retried on
         * another node, which adds a link while the links are being iterated.
         */
        @Test
        void callThatFailsInATickCanOpenALinkToAnotherNode() throws Exception {
            try (ServerSocket silentServer = new ServerSocket(0)) {
                String first = "127.0.0.1:" + silentServer.getLocalPort();
                mDirectory.listed(
                        List.of(
                                entryOf("a", first, "books"),
                                entryOf("b", "127.0.0.1:1", "pages")));
                AtomicInteger retried = new AtomicInteger();
                mLoop.run(
                        () ->
                                mDirectory
                                        .choose("books", Set.of())
                                        .orElseThrow()
                                        .target()
                                        .start(
                                                call(),
                                                (result, load) -> {
                                                    mDirectory.choose("pages", Set.of());
                                                    retried.incrementAndGet();
                                                }));
                mTime.advance(Duration.ofSeconds(1));
                mLoop.run(mDirectory::tick);
                assertThat(retried.get()).isEqualTo(1);
            }
        }
    }

    /** Entries that name a server as ready after another process of their node saw it leave. */
    @Nested
    class RestartedOwners {
        private static final String LINK = "10.0.0.2:7000";

        private Versioned entry(long nodeStarted, BackendState state, Map<String, Long> left) {
            BackendServer server =
                    new BackendServer("s", 5, "books", "10.0.0.2:80", 15, BackendState.READY);
            ServerEntry e =
                    new ServerEntry(
                            new NodeIdentity("o", nodeStarted),
                            LINK,
                            "dc",
                            "r",
                            server.withState(state),
                            left);
            return new Versioned("nodes/o", EntryCodec.encode(e), 1);
        }

        private void assertNotUsed() {
            mDirectory.listed(List.of(entry(2, BackendState.READY, Map.of())));
            assertThat(isRoutable()).isFalse();
        }

        // Guards against requests for a server whose leaving was acknowledged, after the store has
        // lost the record and its node has restarted.
        @Test
        void serverThatHasDeregisteredIsNotUsed() {
            mDirectory.put(entry(1, BackendState.READY, Map.of()));
            assertThat(isRoutable()).isTrue();
            mDirectory.put(entry(1, BackendState.GONE, Map.of("s", 5L)));
            assertNotUsed();
        }

        @Test
        void serverThatDrainedIsNotUsed() {
            mDirectory.put(entry(1, BackendState.DRAINING, Map.of()));
            assertNotUsed();
        }

        @Test
        void entryThatWasRemovedIsRemembered() {
            mDirectory.put(entry(1, BackendState.GONE, Map.of("s", 5L)));
            mDirectory.removed("nodes/o");
            mDirectory.tick();
            assertNotUsed();
        }

        @Test
        void laterIncarnationIsUsed() {
            mDirectory.put(entry(1, BackendState.GONE, Map.of("s", 4L)));
            mDirectory.put(entry(2, BackendState.READY, Map.of()));
            assertThat(isRoutable()).isTrue();
        }

        @Test
        void nodeIsNotifiedThatItsServerHasLeft() {
            mDirectory.put(entry(1, BackendState.DRAINING, Map.of()));
            assertNotUsed();
            for (int i = 0; i < 5; i++) {
                mDirectory.tick();
            }
            assertThat(mLinked).containsExactly(LINK);
        }

        // Guards against a node that opens a link to itself when an older copy of the store names
        // its leaving server as ready.
        @Test
        void nodeDoesNotNotifyItself() {
            mDirectory.put(ownEntry(1, 5, BackendState.DRAINING));
            mDirectory.put(ownEntry(1, 5, BackendState.READY));
            for (int i = 0; i < 5; i++) {
                mDirectory.tick();
            }
            assertThat(mLinked).isEmpty();
        }

        // A server that was only silent may be in use again.
        @Test
        void serverThatWasGoneWithoutLeavingIsUsed() {
            mDirectory.put(entry(1, BackendState.GONE, Map.of()));
            mDirectory.put(entry(2, BackendState.READY, Map.of()));
            assertThat(isRoutable()).isTrue();
        }

        @Test
        void whatAnEntryNamesCountsForItsOwnNodeOnly() {
            mDirectory.put(
                    new Versioned(
                            "nodes/x", entry(1, BackendState.GONE, Map.of("s", 9L)).value(), 1));
            mDirectory.put(entry(2, BackendState.READY, Map.of()));
            assertThat(isRoutable()).isTrue();
        }
    }

    @Nested
    class Changes {
        @Test
        void removedEntryIsReportedOnceAndKeptUntilItsGracePeriodEnds() {
            mDirectory.listed(List.of(ownEntry(9_000, 5, BackendState.READY)));
            mDirectory.removed(OWN_KEY);
            assertThat(mOwnEntryMissing.get()).isEqualTo(1);
            assertThat(isRoutable()).isTrue();
            mTime.advance(Duration.ofSeconds(3));
            mDirectory.tick();
            assertThat(isRoutable()).isFalse();
            assertThat(mDirectory.nodesByService()).isEmpty();
        }
    }
}
