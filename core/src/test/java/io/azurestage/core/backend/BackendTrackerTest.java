package io.azurestage.core.backend;

import static org.assertj.core.api.Assertions.assertThat;

import io.azurestage.core.context.NodeIdentity;
import io.azurestage.core.time.ManualTimeSource;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class BackendTrackerTest {
    private static final Duration DRAIN_TIME = Duration.ofMillis(1_200);
    private static final Duration HEARTBEAT_TIMEOUT = Duration.ofMillis(7_500);

    private final ManualTimeSource mTime = new ManualTimeSource();
    private final BackendTracker mTracker =
            new BackendTracker(mTime, DRAIN_TIME, HEARTBEAT_TIMEOUT);

    private static Heartbeat heartbeat(String id, long started, long sequence, boolean draining) {
        return new Heartbeat(
                id, started, "books", "10.0.0.1:80", 15, draining, Duration.ZERO, sequence);
    }

    /** A heartbeat of a newer server that does not exist. */
    @Nested
    class ServersThatFallSilent {
        private void silenceOfTheNewer() {
            mTracker.onHeartbeat(heartbeat("a", 5, 1, false));
            mTracker.onHeartbeat(heartbeat("b", 9, 1, false));
            mTime.advance(HEARTBEAT_TIMEOUT);
            mTracker.checkHeartbeatTimeout();
        }

        // Guards against a server in use whose heartbeats are ignored for good, since one heartbeat
        // has named a newer server.
        @Test
        void olderServerThatStillReportsIsUsedAgain() {
            silenceOfTheNewer();
            assertThat(mTracker.onHeartbeat(heartbeat("a", 5, 7, false))).isTrue();
            assertThat(mTracker.server().orElseThrow().serverId()).isEqualTo("a");
            assertThat(mTracker.acceptsRequests()).isTrue();
        }

        @Test
        void newerServerStaysWhileItReports() {
            silenceOfTheNewer();
            mTracker.onHeartbeat(heartbeat("b", 9, 2, false));
            assertThat(mTracker.onHeartbeat(heartbeat("a", 5, 7, false))).isFalse();
            assertThat(mTracker.server().orElseThrow().serverId()).isEqualTo("b");
        }

        @Test
        void earlierIncarnationOfTheSilentServerIsNotUsed() {
            silenceOfTheNewer();
            assertThat(mTracker.onHeartbeat(heartbeat("b", 7, 9, false))).isFalse();
        }

        @Test
        void serverThatHasLeftIsNotUsedAgain() {
            mTracker.onDeregistered("a", 5);
            mTracker.onHeartbeat(heartbeat("b", 9, 1, false));
            mTime.advance(HEARTBEAT_TIMEOUT);
            mTracker.checkHeartbeatTimeout();
            assertThat(mTracker.onHeartbeat(heartbeat("a", 5, 7, false))).isFalse();
        }

        // An older server may still send its last heartbeats after a newer one has left.
        @Test
        void olderServerDoesNotReplaceOneThatHasLeft() {
            mTracker.onHeartbeat(heartbeat("b", 9, 1, true));
            mTime.advance(HEARTBEAT_TIMEOUT);
            mTracker.checkHeartbeatTimeout();
            assertThat(mTracker.onHeartbeat(heartbeat("a", 5, 7, false))).isFalse();
        }
    }

    @Nested
    class Leaving {
        @Test
        void acceptsRequestsForTheDrainTimeOnly() {
            mTracker.onHeartbeat(heartbeat("a", 1, 1, false));
            mTracker.onHeartbeat(heartbeat("a", 1, 2, true));
            assertThat(mTracker.acceptsRequests()).isTrue();
            mTime.advance(DRAIN_TIME);
            assertThat(mTracker.acceptsRequests()).isFalse();
        }

        @Test
        void deregistrationAfterDrainingDoesNotExtendTheDrainTime() {
            mTracker.onHeartbeat(heartbeat("a", 1, 1, false));
            mTracker.onHeartbeat(heartbeat("a", 1, 2, true));
            mTime.advance(DRAIN_TIME);
            mTracker.onDeregistered("a", 1);
            assertThat(mTracker.acceptsRequests()).isFalse();
        }

        @Test
        void lateHeartbeatDoesNotReviveAServerThatLeft() {
            mTracker.onHeartbeat(heartbeat("a", 1, 1, false));
            mTracker.onDeregistered("a", 1);
            mTime.advance(DRAIN_TIME);
            mTracker.onHeartbeat(heartbeat("a", 1, 9, false));
            assertThat(mTracker.acceptsRequests()).isFalse();
        }

        @Test
        void deregistrationWithoutStartTimeAppliesToAnUnknownServer() {
            long started = mTime.now().toEpochMilli() - 1;
            mTracker.onDeregistered("a", 0);
            mTracker.onHeartbeat(heartbeat("a", started, 7, false));
            assertThat(mTracker.acceptsRequests()).isFalse();
        }

        @Test
        void serverFirstSeenWhileDrainingGetsNoRequests() {
            mTracker.onHeartbeat(heartbeat("a", 1, 4, true));
            assertThat(mTracker.acceptsRequests()).isFalse();
        }

        // Guards against a leave that is ignored because the server's heartbeats had stopped.
        @Test
        void leaveStatedWhileHeartbeatsAreMissingIsKept() {
            mTracker.onHeartbeat(heartbeat("a", 1, 1, false));
            mTime.advance(HEARTBEAT_TIMEOUT);
            mTracker.checkHeartbeatTimeout();
            assertThat(mTracker.onLeavingStated()).isTrue();
            mTracker.onHeartbeat(heartbeat("a", 1, 2, false));
            assertThat(mTracker.acceptsRequests()).isFalse();
        }

        // Guards against a leave that is acknowledged and ignored because its report was overtaken.
        @Test
        void overtakenReportOfTheDrainIsKept() {
            mTracker.onHeartbeat(heartbeat("a", 1, 5, false));
            mTracker.onHeartbeat(heartbeat("a", 1, 4, true));
            mTime.advance(DRAIN_TIME);
            assertThat(mTracker.acceptsRequests()).isFalse();
        }

        // Guards against a late report that gives a drained server another drain time.
        @Test
        void laterReportsDoNotExtendTheDrainTime() {
            mTracker.onHeartbeat(heartbeat("a", 1, 1, false));
            mTracker.onHeartbeat(heartbeat("a", 1, 2, true));
            mTime.advance(DRAIN_TIME);
            mTracker.onHeartbeat(heartbeat("a", 1, 3, true));
            mTracker.onLeavingStated();
            assertThat(mTracker.acceptsRequests()).isFalse();
        }

        @Test
        void newIncarnationUnderTheSameIdAcceptsRequests() {
            mTracker.onHeartbeat(heartbeat("a", 1, 5, false));
            mTracker.onDeregistered("a", 1);
            mTime.advance(DRAIN_TIME);
            mTracker.onHeartbeat(heartbeat("a", 2, 1, false));
            assertThat(mTracker.acceptsRequests()).isTrue();
        }
    }

    @Nested
    class HeartbeatTimeout {
        @Test
        void serverWithoutHeartbeatsIsGoneUntilItsNextHeartbeat() {
            mTracker.onHeartbeat(heartbeat("a", 1, 1, false));
            mTime.advance(HEARTBEAT_TIMEOUT);
            assertThat(mTracker.checkHeartbeatTimeout()).isTrue();
            assertThat(mTracker.acceptsRequests()).isFalse();
            mTracker.onHeartbeat(heartbeat("a", 1, 2, false));
            assertThat(mTracker.acceptsRequests()).isTrue();
        }
    }

    @Test
    void olderIncarnationNeverReplacesANewerOne() {
        mTracker.onHeartbeat(heartbeat("b", 20, 1, false));
        mTracker.onHeartbeat(heartbeat("a", 10, 99, false));
        assertThat(mTracker.server().orElseThrow().serverId()).isEqualTo("b");
    }

    @Group
    class ReportOrder {
        // Guards against an incarnation that gets requests again after it has left, whatever the
        // order of the reports.
        @Property(tries = 2_000, seed = "17")
        void leftIncarnationGetsNoRequestsInAnyOrderOfReports(@ForAll long seed) {
            ManualTimeSource time = new ManualTimeSource();
            BackendTracker tracker = new BackendTracker(time, DRAIN_TIME, HEARTBEAT_TIMEOUT);
            Random random = new Random(seed);
            boolean[] hasLeft = new boolean[3];
            long[] leftAtNanos = new long[3];
            for (int i = 0; i < 60; i++) {
                int incarnation = random.nextInt(3);
                if (random.nextInt(6) == 0) {
                    tracker.onDeregistered("a", incarnation + 1);
                    leftAtNanos[incarnation] =
                            hasLeft[incarnation] ? leftAtNanos[incarnation] : time.nanos();
                    hasLeft[incarnation] = true;
                } else {
                    tracker.onHeartbeat(heartbeat("a", incarnation + 1, random.nextInt(40), false));
                }
                time.advance(Duration.ofMillis(random.nextInt(400)));
                tracker.checkHeartbeatTimeout();
                BackendServer s = tracker.server().orElse(null);
                if (s == null) {
                    continue;
                }
                int current = (int) s.startedAtMillis() - 1;
                if (hasLeft[current]
                        && time.nanos() - leftAtNanos[current] >= DRAIN_TIME.toNanos()) {
                    assertThat(tracker.acceptsRequests()).isFalse();
                }
            }
        }
    }

    @Group
    class CompletedDrain {
        // Guards against a completed drain that is reverted by late heartbeats or by heartbeats
        // that resume after a timeout.
        @Property(tries = 2_000, seed = "23")
        void noReportRevertsACompletedDrain(@ForAll long seed) {
            ManualTimeSource time = new ManualTimeSource();
            BackendTracker tracker = new BackendTracker(time, DRAIN_TIME, HEARTBEAT_TIMEOUT);
            Random random = new Random(seed);
            long[] drainStartNanos = {-1, -1, -1};
            long[] firstDrainingSequence = {Long.MAX_VALUE, Long.MAX_VALUE, Long.MAX_VALUE};
            long[] sequence = new long[3];
            for (int i = 0; i < 40; i++) {
                int server = random.nextInt(3);
                sequence[server]++;
                if (random.nextInt(4) == 0) {
                    firstDrainingSequence[server] =
                            Math.min(firstDrainingSequence[server], sequence[server]);
                }
                long delay = random.nextInt(5) == 0 ? random.nextInt(10) : 0;
                long sentSequence = Math.max(1, sequence[server] - delay);
                tracker.onHeartbeat(
                        heartbeat(
                                "s" + server,
                                1 + server,
                                sentSequence,
                                sentSequence >= firstDrainingSequence[server]));
                boolean current = tracker.server().orElseThrow().startedAtMillis() == 1 + server;
                if (current
                        && sentSequence >= firstDrainingSequence[server]
                        && drainStartNanos[server] < 0) {
                    drainStartNanos[server] = time.nanos();
                }
                long step = random.nextInt(6) == 0 ? HEARTBEAT_TIMEOUT.toMillis() + 100 : 400;
                time.advance(Duration.ofMillis((long) (random.nextDouble() * step)));
                tracker.checkHeartbeatTimeout();
                int index = (int) tracker.server().orElseThrow().startedAtMillis() - 1;
                long startNanos = drainStartNanos[index];
                if (startNanos >= 0 && time.nanos() - startNanos >= DRAIN_TIME.toNanos()) {
                    assertThat(tracker.acceptsRequests()).isFalse();
                }
            }
        }
    }

    @Nested
    class Entries {
        private final ServerEntryTable mTable =
                new ServerEntryTable(mTime, Duration.ofMillis(2_500));

        private ServerEntry entry() {
            return new ServerEntry(
                    new NodeIdentity("n", 1),
                    "10.0.0.1:7000",
                    "dc",
                    "r",
                    new BackendServer("a", 1, "books", "10.0.0.1:80", 15, BackendState.READY));
        }

        @Test
        void lapsedEntryIsUsableUntilTheGracePeriodEnds() {
            mTable.put("k", entry());
            mTable.markMissing("k");
            assertThat(mTable.removeExpired(e -> true)).isEmpty();
            assertThat(mTable.entries()).hasSize(1);
            mTime.advance(Duration.ofMillis(2_500));
            assertThat(mTable.removeExpired(e -> true)).hasSize(1);
            assertThat(mTable.entries()).isEmpty();
        }

        @Test
        void lapsedEntryOfAnUnresponsiveNodeIsRemovedAtOnce() {
            mTable.put("k", entry());
            mTable.markMissing("k");
            assertThat(mTable.removeExpired(e -> false)).hasSize(1);
        }

        @Test
        void entryRestoredWithinTheGracePeriodStays() {
            mTable.put("k", entry());
            mTable.markMissing("k");
            mTime.advance(Duration.ofMillis(1_900));
            mTable.put("k", entry());
            mTime.advance(Duration.ofSeconds(5));
            assertThat(mTable.removeExpired(e -> false)).isEmpty();
            assertThat(List.copyOf(mTable.entries())).hasSize(1);
        }

        @Test
        void listingMarksMissingEntriesAsLapsed() {
            mTable.put("k", entry());
            mTable.put("l", entry());
            mTable.onFullListing(Set.of("l"));
            assertThat(mTable.removeExpired(e -> false)).hasSize(1);
            assertThat(mTable.entries()).hasSize(1);
        }
    }
}
