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
    private static final Duration DRAIN = Duration.ofMillis(1_200);
    private static final Duration SILENCE = Duration.ofMillis(7_500);

    private final ManualTimeSource mTime = new ManualTimeSource();
    private final BackendTracker mTracker = new BackendTracker(mTime, DRAIN, SILENCE);

    private static Heartbeat beat(String id, long started, long sequence, boolean draining) {
        return new Heartbeat(
                id, started, "books", "10.0.0.1:80", 15, draining, Duration.ZERO, sequence);
    }

    @Nested
    class Leaving {
        @Test
        void takesWorkForTheDrainTimeOnly() {
            mTracker.heard(beat("a", 1, 1, false));
            mTracker.heard(beat("a", 1, 2, true));
            assertThat(mTracker.mayStart()).isTrue();
            mTime.advance(DRAIN);
            assertThat(mTracker.mayStart()).isFalse();
        }

        @Test
        void deregistrationAfterDrainingDoesNotExtendTheDrainTime() {
            mTracker.heard(beat("a", 1, 1, false));
            mTracker.heard(beat("a", 1, 2, true));
            mTime.advance(DRAIN);
            mTracker.left("a", 1);
            assertThat(mTracker.mayStart()).isFalse();
        }

        @Test
        void lateHeartbeatDoesNotReviveAServerThatLeft() {
            mTracker.heard(beat("a", 1, 1, false));
            mTracker.left("a", 1);
            mTime.advance(DRAIN);
            mTracker.heard(beat("a", 1, 9, false));
            assertThat(mTracker.mayStart()).isFalse();
        }

        @Test
        void reportWithoutStartTimeCoversAServerThatThisProcessHasNotHeardOf() {
            long started = mTime.now().toEpochMilli() - 1;
            mTracker.left("a", 0);
            mTracker.heard(beat("a", started, 7, false));
            assertThat(mTracker.mayStart()).isFalse();
        }

        @Test
        void serverFirstSeenAsDrainingGetsNoWork() {
            mTracker.heard(beat("a", 1, 4, true));
            assertThat(mTracker.mayStart()).isFalse();
        }

        @Test
        void newIncarnationUnderTheSameIdTakesWork() {
            mTracker.heard(beat("a", 1, 5, false));
            mTracker.left("a", 1);
            mTime.advance(DRAIN);
            mTracker.heard(beat("a", 2, 1, false));
            assertThat(mTracker.mayStart()).isTrue();
        }
    }

    @Nested
    class Silence {
        @Test
        void silentServerIsGoneAndReturnsWithItsNextHeartbeat() {
            mTracker.heard(beat("a", 1, 1, false));
            mTime.advance(SILENCE);
            assertThat(mTracker.tick()).isTrue();
            assertThat(mTracker.mayStart()).isFalse();
            mTracker.heard(beat("a", 1, 2, false));
            assertThat(mTracker.mayStart()).isTrue();
        }
    }

    @Test
    void olderIncarnationNeverReplacesANewerOne() {
        mTracker.heard(beat("b", 20, 1, false));
        mTracker.heard(beat("a", 10, 99, false));
        assertThat(mTracker.server().orElseThrow().serverId()).isEqualTo("b");
    }

    @Group
    class Orders {
        @Property(tries = 2_000, seed = "17")
        void anyOrderOfReportsKeepsALeftIncarnationOut(@ForAll long seed) {
            ManualTimeSource time = new ManualTimeSource();
            BackendTracker tracker = new BackendTracker(time, DRAIN, SILENCE);
            Random random = new Random(seed);
            boolean[] left = new boolean[3];
            long[] leftAt = new long[3];
            for (int i = 0; i < 60; i++) {
                int incarnation = random.nextInt(3);
                if (random.nextInt(6) == 0) {
                    tracker.left("a", incarnation + 1);
                    leftAt[incarnation] = left[incarnation] ? leftAt[incarnation] : time.nanos();
                    left[incarnation] = true;
                } else {
                    tracker.heard(beat("a", incarnation + 1, random.nextInt(40), false));
                }
                time.advance(Duration.ofMillis(random.nextInt(400)));
                tracker.tick();
                BackendServer s = tracker.server().orElse(null);
                if (s == null) {
                    continue;
                }
                int current = (int) s.startedAtMillis() - 1;
                if (left[current] && time.nanos() - leftAt[current] >= DRAIN.toNanos()) {
                    assertThat(tracker.mayStart()).isFalse();
                }
            }
        }
    }

    @Group
    class Drains {
        /** A drain that was acknowledged is over for good, also after silence and late reports. */
        @Property(tries = 2_000, seed = "23")
        void noReportOpensADrainAgain(@ForAll long seed) {
            ManualTimeSource time = new ManualTimeSource();
            BackendTracker tracker = new BackendTracker(time, DRAIN, SILENCE);
            Random random = new Random(seed);
            long[] drainedAt = {-1, -1, -1};
            long[] drainsFrom = {Long.MAX_VALUE, Long.MAX_VALUE, Long.MAX_VALUE};
            long[] sequence = new long[3];
            for (int i = 0; i < 40; i++) {
                int n = random.nextInt(3);
                sequence[n]++;
                if (random.nextInt(4) == 0) {
                    drainsFrom[n] = Math.min(drainsFrom[n], sequence[n]);
                }
                long late = random.nextInt(5) == 0 ? random.nextInt(10) : 0;
                long sent = Math.max(1, sequence[n] - late);
                tracker.heard(beat("s" + n, 1 + n, sent, sent >= drainsFrom[n]));
                boolean current = tracker.server().orElseThrow().startedAtMillis() == 1 + n;
                if (current && sent >= drainsFrom[n] && drainedAt[n] < 0) {
                    drainedAt[n] = time.nanos();
                }
                long step = random.nextInt(6) == 0 ? SILENCE.toMillis() + 100 : 400;
                time.advance(Duration.ofMillis((long) (random.nextDouble() * step)));
                tracker.tick();
                int known = (int) tracker.server().orElseThrow().startedAtMillis() - 1;
                long at = drainedAt[known];
                if (at >= 0 && time.nanos() - at >= DRAIN.toNanos()) {
                    assertThat(tracker.mayStart()).isFalse();
                }
            }
        }
    }

    @Nested
    class Entries {
        private final EntryTable mTable = new EntryTable(mTime, Duration.ofMillis(2_500));

        private ServerEntry entry() {
            return new ServerEntry(
                    new NodeIdentity("n", 1),
                    "10.0.0.1:7000",
                    "dc",
                    "r",
                    new BackendServer("a", 1, "books", "10.0.0.1:80", 15, BackendState.READY));
        }

        @Test
        void lapsedEntryIsUsedWhileItsNodeAnswersAndDroppedAfterTheGrace() {
            mTable.put("k", entry());
            mTable.lapse("k");
            assertThat(mTable.expire(e -> true)).isEmpty();
            assertThat(mTable.entries()).hasSize(1);
            mTime.advance(Duration.ofMillis(2_500));
            assertThat(mTable.expire(e -> true)).hasSize(1);
            assertThat(mTable.entries()).isEmpty();
        }

        @Test
        void lapsedEntryOfASilentNodeIsDroppedAtOnce() {
            mTable.put("k", entry());
            mTable.lapse("k");
            assertThat(mTable.expire(e -> false)).hasSize(1);
        }

        @Test
        void entryThatComesBackWithinTheGraceStays() {
            mTable.put("k", entry());
            mTable.lapse("k");
            mTime.advance(Duration.ofMillis(1_900));
            mTable.put("k", entry());
            mTime.advance(Duration.ofSeconds(5));
            assertThat(mTable.expire(e -> false)).isEmpty();
            assertThat(List.copyOf(mTable.entries())).hasSize(1);
        }

        @Test
        void listingMarksWhatItLacks() {
            mTable.put("k", entry());
            mTable.put("l", entry());
            mTable.listed(Set.of("l"));
            assertThat(mTable.expire(e -> false)).hasSize(1);
            assertThat(mTable.entries()).hasSize(1);
        }
    }
}
