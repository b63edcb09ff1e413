package io.azurestage.bench.standin;

import static org.assertj.core.api.Assertions.assertThat;

import io.azurestage.store.EtcdStore;
import io.azurestage.store.LeaseResult;
import io.azurestage.store.PlatformStore;
import io.azurestage.store.ReadResult;
import io.azurestage.store.Versioned;
import io.azurestage.store.WatchEvent;
import io.azurestage.store.WriteResult;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class EtcdStoreFaultTest {
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(20);
    private static final Duration SHORT_CALL_TIMEOUT = Duration.ofSeconds(2);

    private final StandInStore mServer = StandInStore.start();
    private final StandInStore mSecondServer = StandInStore.start();
    private final PlatformStore mStore = EtcdStore.connect(List.of(mServer.uri()), CALL_TIMEOUT);

    @AfterEach
    void close() {
        mStore.close();
        mServer.close();
        mSecondServer.close();
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static String value(PlatformStore store, String key) {
        ReadResult.Found f = (ReadResult.Found) store.get(key, false).join();
        return f.values().isEmpty()
                ? ""
                : new String(f.values().get(0).value(), StandardCharsets.UTF_8);
    }

    private static long put(PlatformStore store, String key, long revision, String value) {
        WriteResult r = store.compareAndSwap(key, revision, bytes(value), 0).join();
        return ((WriteResult.Applied) r).revision();
    }

    @Nested
    class Writes {
        // Guards against a result that claims more certainty about the write than the client has.
        @ParameterizedTest
        @EnumSource(StandInStoreFault.class)
        void reportOnlyWhatIsKnown(StandInStoreFault fault) {
            long before = put(mStore, "k", PlatformStore.ABSENT, "old");
            mServer.delay(Duration.ofHours(1));
            mServer.enableFault(fault);
            Duration timeout = fault == StandInStoreFault.SLOW ? SHORT_CALL_TIMEOUT : CALL_TIMEOUT;
            WriteResult result;
            try (PlatformStore s = EtcdStore.connect(List.of(mServer.uri()), timeout)) {
                result = s.compareAndSwap("k", before, bytes("new"), 0).join();
            }
            mServer.disableFault(fault);
            String now = value(mStore, "k");
            switch (fault) {
                case REFUSED -> {
                    assertThat(result).isInstanceOf(WriteResult.Unavailable.class);
                    assertThat(now).isEqualTo("old");
                }
                case WATCH_REFUSED -> {
                    assertThat(result).isInstanceOf(WriteResult.Applied.class);
                    assertThat(now).isEqualTo("new");
                }
                default -> {
                    assertThat(result).isInstanceOf(WriteResult.MaybeApplied.class);
                    boolean applied = fault.name().startsWith("APPLIED");
                    assertThat(now).isEqualTo(applied ? "new" : "old");
                }
            }
        }

        // Guards against a lost update: a writer with an old revision overwriting a newer value.
        @Test
        void conflictWhenTheRevisionIsOld() {
            long r = put(mStore, "k", PlatformStore.ABSENT, "a");
            put(mStore, "k", r, "b");
            assertThat(mStore.compareAndSwap("k", r, bytes("c"), 0).join())
                    .isEqualTo(new WriteResult.Conflict());
            assertThat(value(mStore, "k")).isEqualTo("b");
        }

        // Guards against repeating a write at a second endpoint after its response was lost.
        @Test
        void stayAtOneEndpointOnceSent() {
            mServer.enableFault(StandInStoreFault.APPLIED_ANSWER_LOST);
            try (PlatformStore both =
                    EtcdStore.connect(List.of(mServer.uri(), mSecondServer.uri()), CALL_TIMEOUT)) {
                assertThat(both.compareAndSwap("k", 0, bytes("v"), 0).join())
                        .isInstanceOf(WriteResult.MaybeApplied.class);
            }
            assertThat(mSecondServer.counters().total()).isZero();
        }

        @Test
        void failOverWhenNoConnectionWasMade() {
            mServer.enableFault(StandInStoreFault.REFUSED);
            try (PlatformStore both =
                    EtcdStore.connect(List.of(mServer.uri(), mSecondServer.uri()), CALL_TIMEOUT)) {
                put(both, "k", 0, "v");
            }
            assertThat(mSecondServer.counters().calls("txn")).isEqualTo(1);
        }
    }

    @Nested
    class Reads {
        @ParameterizedTest
        @EnumSource(
                value = StandInStoreFault.class,
                names = {"REFUSED", "DROPPED", "SLOW", "ERROR_STATUS"})
        void failOverToTheNextEndpoint(StandInStoreFault fault) {
            put(mStore, "k", 0, "first");
            mServer.delay(Duration.ofHours(1));
            mServer.enableFault(fault);
            Duration timeout = fault == StandInStoreFault.SLOW ? SHORT_CALL_TIMEOUT : CALL_TIMEOUT;
            try (PlatformStore one = EtcdStore.connect(List.of(mServer.uri()), timeout);
                    PlatformStore both =
                            EtcdStore.connect(
                                    List.of(mServer.uri(), mSecondServer.uri()), timeout)) {
                assertThat(one.get("k", false).join()).isInstanceOf(ReadResult.Unavailable.class);
                assertThat(value(both, "k")).isEmpty();
            }
        }

        @Test
        void byPrefixAreSortedAndStopAtTheEnd() {
            for (String k : List.of("a/2", "a/1", "a", "b", "a0")) {
                put(mStore, k, 0, k);
            }
            ReadResult.Found f = (ReadResult.Found) mStore.get("a/", true).join();
            assertThat(f.values()).extracting(Versioned::key).containsExactly("a/1", "a/2");
        }

        // Readers detect lost writes by the lower revision, so it must not be hidden.
        @Test
        void showTheLowerRevisionAfterLostWrites() {
            long r = put(mStore, "k", 0, "a");
            put(mStore, "k", r, "b");
            mServer.rollBackTo(r);
            assertThat(((ReadResult.Found) mStore.get("k", false).join()).revision()).isEqualTo(r);
            assertThat(value(mStore, "k")).isEqualTo("a");
        }
    }

    @Nested
    class Leases {
        @Test
        void expireWithTheirKeys() {
            LeaseResult.Held lease =
                    (LeaseResult.Held) mStore.grantLease(Duration.ofSeconds(60)).join();
            mStore.compareAndSwap("k", 0, bytes("v"), lease.id()).join();
            assertThat(mStore.keepAlive(lease.id()).join()).isEqualTo(lease);
            mServer.expireAllLeases();
            assertThat(mStore.keepAlive(lease.id()).join()).isEqualTo(new LeaseResult.Lapsed());
            assertThat(value(mStore, "k")).isEmpty();
        }

        @ParameterizedTest
        @EnumSource(
                value = StandInStoreFault.class,
                names = {"REFUSED", "DROPPED", "ERROR_STATUS"})
        void areUnavailableRatherThanLapsed(StandInStoreFault fault) {
            mServer.enableFault(fault);
            assertThat(mStore.grantLease(CALL_TIMEOUT).join())
                    .isInstanceOf(LeaseResult.Unavailable.class);
            assertThat(mStore.keepAlive(1).join()).isInstanceOf(LeaseResult.Unavailable.class);
        }
    }

    @Nested
    class Watches {
        private final BlockingQueue<WatchEvent> mEvents = new LinkedBlockingQueue<>();

        private WatchEvent next() throws InterruptedException {
            return mEvents.poll(CALL_TIMEOUT.toSeconds(), TimeUnit.SECONDS);
        }

        private void watch(long from) {
            mStore.watch("k", true, from, mEvents::add);
        }

        @Test
        void reportOldAndNewChangesInOrder() throws InterruptedException {
            long first = put(mStore, "k1", 0, "a");
            watch(first);
            assertThat(((WatchEvent.Put) next()).value().revision()).isEqualTo(first);
            LeaseResult.Held lease =
                    (LeaseResult.Held) mStore.grantLease(Duration.ofSeconds(60)).join();
            put(mStore, "other", 0, "x");
            mStore.compareAndSwap("k2", 0, bytes("b"), lease.id()).join();
            assertThat(((WatchEvent.Put) next()).value().key()).isEqualTo("k2");
            mServer.expireAllLeases();
            assertThat(next()).isEqualTo(new WatchEvent.Removed("k2", first + 3));
        }

        // Without the event a watcher waits for ever; with two it would restart the watch twice.
        @ParameterizedTest
        @EnumSource(WatchEnd.class)
        void reportBrokenOnce(WatchEnd watchEnd) throws InterruptedException {
            long r = put(mStore, "k", 0, "a");
            watch(r);
            assertThat(next()).isInstanceOf(WatchEvent.Put.class);
            watchEnd.act(mServer, mStore);
            assertThat(next()).isInstanceOf(WatchEvent.Broken.class);
            mServer.disconnectWatches();
            mStore.close();
            assertThat(mEvents).isEmpty();
        }

        @Test
        void reportACompactedRevision() throws InterruptedException {
            long r = put(mStore, "k", 0, "a");
            put(mStore, "k", r, "b");
            mServer.compact();
            watch(r);
            assertThat(((WatchEvent.Broken) next()).reason()).contains("compacted");
        }

        @ParameterizedTest
        @EnumSource(
                value = StandInStoreFault.class,
                names = {"REFUSED", "DROPPED", "ERROR_STATUS", "WATCH_REFUSED"})
        void thatCannotStartReportBroken(StandInStoreFault fault) throws InterruptedException {
            mServer.enableFault(fault);
            watch(1);
            assertThat(next()).isInstanceOf(WatchEvent.Broken.class);
        }

        // Guards against a client that uses a thread for each watch or call.
        @Test
        void shareAFewThreads() throws InterruptedException {
            int watches = 40;
            for (int i = 0; i < watches; i++) {
                watch(1);
            }
            put(mStore, "k", 0, "v");
            for (int i = 0; i < watches; i++) {
                assertThat(next()).isInstanceOf(WatchEvent.Put.class);
            }
            Set<Thread> threads = Thread.getAllStackTraces().keySet();
            assertThat(threads)
                    .filteredOn(t -> t.getName().startsWith("azurestage-store"))
                    .hasSizeLessThan(watches / 2)
                    .allMatch(Thread::isDaemon);
        }
    }

    enum WatchEnd {
        CUT {
            @Override
            void act(StandInStore server, PlatformStore store) {
                server.disconnectWatches();
            }
        },
        CANCELLED {
            @Override
            void act(StandInStore server, PlatformStore store) {
                server.cancelWatches();
            }
        },
        DOWN {
            @Override
            void act(StandInStore server, PlatformStore store) {
                server.enableFault(StandInStoreFault.REFUSED);
            }
        },
        LOST_WRITES {
            @Override
            void act(StandInStore server, PlatformStore store) {
                server.rollBackTo(1);
            }
        },
        CLOSED {
            @Override
            void act(StandInStore server, PlatformStore store) {
                store.close();
            }
        };

        abstract void act(StandInStore server, PlatformStore store);
    }
}
