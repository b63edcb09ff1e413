package io.azurestage.relay;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.azurestage.core.backend.BackendState;
import io.azurestage.core.backend.BackendTracker;
import io.azurestage.core.backend.Heartbeat;
import io.azurestage.core.event.EventLog;
import io.azurestage.core.time.HybridClock;
import io.azurestage.core.time.ManualTimeSource;
import io.azurestage.relay.fleet.LeaveRecords;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ServerReportsTest {
    private static final String RECORD = "azurestage/left/a";
    private static final int FLEET = 1_400;
    private static final Duration DRAIN_TIME = Duration.ofMillis(1_200);

    private final Loop mLoop = new Loop();
    private final MapStore mStore = new MapStore();
    private final ManualTimeSource mTime = new ManualTimeSource();
    private final BackendTracker mTracker =
            new BackendTracker(mTime, DRAIN_TIME, Duration.ofMillis(7_500));
    private final AtomicInteger mChanges = new AtomicInteger();
    private final ServerReports mReports =
            new ServerReports(
                    "books",
                    new InetSocketAddress("10.0.0.1", 0).getAddress(),
                    mTracker,
                    new LeaveRecords(
                            mLoop.loop(),
                            mTime,
                            mStore,
                            new EventLog("n", new HybridClock(mTime), 10, e -> {})),
                    mChanges::incrementAndGet);

    @AfterEach
    void close() throws Exception {
        mLoop.close();
    }

    private void start() throws Exception {
        mLoop.run(mReports::start);
        awaitTasks();
    }

    /** Waits for the tasks that the present task of the event loop and its successor add. */
    private void awaitTasks() throws Exception {
        mLoop.run(() -> {});
        mLoop.run(() -> {});
    }

    /** Returns a heartbeat of a server that started at 5. */
    private static Heartbeat report(long sequence, boolean draining) {
        return new Heartbeat("a", 5, "books", "10.0.0.1:80", 15, draining, Duration.ZERO, sequence);
    }

    /** Sends a heartbeat, and waits for the acknowledgement. */
    private void heartbeat(long sequence, boolean draining) throws Exception {
        Heartbeat h = report(sequence, draining);
        CompletableFuture<Void> acknowledged = new CompletableFuture<>();
        mLoop.run(() -> mReports.onHeartbeat(h, () -> acknowledged.complete(null)));
        Loop.get(acknowledged);
    }

    private void deregister() throws Exception {
        CompletableFuture<Void> acknowledged = new CompletableFuture<>();
        mLoop.run(() -> mReports.onDeregistered("a", 5, () -> acknowledged.complete(null)));
        Loop.get(acknowledged);
    }

    private void advance(int seconds) {
        mTime.advance(Duration.ofSeconds(seconds));
    }

    private boolean acceptsRequests() throws Exception {
        return mLoop.call(mTracker::acceptsRequests);
    }

    /** Guards against records whose lease ends while their server still reports. */
    /** Leaves that other nodes remember from an earlier process of this node. */
    @Nested
    class RememberedLeaves {
        private void remind() throws Exception {
            mLoop.run(() -> mReports.onLeaveRemembered("a", 5));
        }

        // Guards against a late heartbeat that makes a restarted node use a server that has left,
        // when the store has lost the record of that.
        @Test
        void serverIsNotUsedAndTheRecordIsWrittenAgain() throws Exception {
            start();
            heartbeat(1, false);
            assertThat(acceptsRequests()).isTrue();
            remind();
            assertThat(acceptsRequests()).isFalse();
            heartbeat(2, false);
            assertThat(acceptsRequests()).isFalse();
            Loop.await("the record", () -> mStore.has(RECORD));
        }

        @Test
        void drainThatThisProcessHasAcknowledgedIsNotCutShort() throws Exception {
            start();
            heartbeat(1, false);
            heartbeat(2, true);
            remind();
            assertThat(acceptsRequests()).isTrue();
        }
    }

    /** Heartbeats that do not come from the server of this VM. */
    @Nested
    class OtherWriters {
        private static final long NEWER = 9;

        private void assertRefused(String service, String address, String field) throws Exception {
            start();
            heartbeat(1, false);
            int changes = mChanges.get();
            Heartbeat h = new Heartbeat("b", NEWER, service, address, 5, false, Duration.ZERO, 1);
            mLoop.run(
                    () ->
                            assertThatThrownBy(() -> mReports.onHeartbeat(h, () -> {}))
                                    .isInstanceOf(IllegalArgumentException.class)
                                    .hasMessageContaining(field));
            assertThat(mTracker.server().orElseThrow().serverId()).isEqualTo("a");
            assertThat(acceptsRequests()).isTrue();
            assertThat(mChanges).hasValue(changes);
        }

        // Guards against a server in use that one heartbeat for another service replaces for good.
        @Test
        void heartbeatForAnotherServiceNamesNoServer() throws Exception {
            assertRefused("nosuch", "10.0.0.1:80", "heartbeat.service");
        }

        // Guards against requests that are sent to a server beside another node.
        @Test
        void heartbeatWithTheAddressOfAnotherVmNamesNoServer() throws Exception {
            assertRefused("books", "10.0.0.2:80", "heartbeat.address");
        }
    }

    @Nested
    class Leases {
        private long mLease;

        private void assertRenewed() {
            Loop.await("a new lease", () -> mStore.lease(RECORD) > mLease);
        }

        @Test
        void heartbeatsOfADrainingServerRenewItsRecord() throws Exception {
            start();
            heartbeat(1, false);
            heartbeat(2, true);
            mLease = mStore.lease(RECORD);
            advance(30);
            heartbeat(3, true);
            assertRenewed();
        }

        @Test
        void deregistrationAfterALongDrainRenewsTheRecord() throws Exception {
            start();
            heartbeat(1, false);
            heartbeat(2, true);
            mLease = mStore.lease(RECORD);
            advance(30);
            deregister();
            assertRenewed();
        }

        // The heartbeats of such a server may say that it is ready.
        @Test
        void heartbeatsOfAServerThatStatedItsLeaveInAnAnswerRenewItsRecord() throws Exception {
            start();
            heartbeat(1, false);
            mLoop.run(mReports::onLeavingStated);
            Loop.await("the record", () -> mStore.has(RECORD));
            awaitTasks();
            mLease = mStore.lease(RECORD);
            advance(30);
            heartbeat(2, false);
            assertRenewed();
        }

        @Test
        void lateHeartbeatsOfADeregisteredServerRenewItsRecord() throws Exception {
            start();
            heartbeat(1, false);
            deregister();
            mLease = mStore.lease(RECORD);
            advance(30);
            heartbeat(2, false);
            assertRenewed();
        }

        @Test
        void heartbeatsOfAServerInUseRecordNothing() throws Exception {
            start();
            heartbeat(1, false);
            heartbeat(2, false);
            assertThat(mStore.has(RECORD)).isFalse();
        }
    }

    /** The store does not answer a starting node at first. */
    @Nested
    class RecordsNotRead {
        private void restart() throws Exception {
            mStore.put(RECORD, "5".getBytes(StandardCharsets.UTF_8));
            mStore.setDown(true);
            start();
        }

        private void awaitWaitOver() {
            Loop.await(
                    "the heartbeats are processed",
                    () -> {
                        try {
                            heartbeat(mSequence++, false);
                            return acceptsRequests();
                        } catch (Exception e) {
                            throw new AssertionError(e);
                        }
                    });
        }

        private long mSequence = 10;

        // Guards against a drain that a late heartbeat hides while the records are being read.
        @Test
        void drainReportedBeforeTheRecordsAreReadIsKept() throws Exception {
            mLoop.run(
                    () -> {
                        mReports.start();
                        mReports.onHeartbeat(report(2, true), () -> {});
                        mReports.onHeartbeat(report(1, false), () -> {});
                    });
            awaitTasks();
            assertThat(acceptsRequests()).isFalse();
        }

        // Guards against an acknowledgement without a record, which another restart would forget.
        @Test
        void drainReportedBeforeTheRecordsAreReadIsRecordedFirst() throws Exception {
            CompletableFuture<Boolean> recorded = new CompletableFuture<>();
            mLoop.run(
                    () -> {
                        mReports.start();
                        mReports.onHeartbeat(
                                report(1, true), () -> recorded.complete(mStore.has(RECORD)));
                    });
            assertThat(Loop.get(recorded)).isTrue();
        }

        // Guards against a node that gives up reading: it used a server that had left until the
        // server exited.
        @Test
        void recordsAreAppliedWhenTheStoreAnswersLater() throws Exception {
            restart();
            awaitWaitOver();
            mStore.setDown(false);
            Loop.await(
                    "the server gets no requests",
                    () -> mTracker.server().orElseThrow().state() == BackendState.GONE);
            assertThat(acceptsRequests()).isFalse();
            assertThat(mChanges.get()).isEqualTo(2);
        }
    }

    // Guards against a fleet whose records push that of the node's own server out of memory.
    @Test
    void recordIsAppliedAmongThoseOfAWholeFleet() throws Exception {
        mStore.put(RECORD, "5".getBytes(StandardCharsets.UTF_8));
        for (int i = 0; i < FLEET; i++) {
            mStore.put("azurestage/left/b" + i, "5".getBytes(StandardCharsets.UTF_8));
        }
        start();
        heartbeat(9, false);
        assertThat(acceptsRequests()).isFalse();
    }
}
