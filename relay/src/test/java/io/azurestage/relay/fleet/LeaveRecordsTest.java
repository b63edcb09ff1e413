package io.azurestage.relay.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import io.azurestage.core.event.EventLog;
import io.azurestage.core.time.HybridClock;
import io.azurestage.core.time.ManualTimeSource;
import io.azurestage.relay.Loop;
import io.azurestage.relay.MapStore;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.RepetitionInfo;
import org.junit.jupiter.api.Test;

class LeaveRecordsTest {
    private static final String RECORD = "azurestage/left/a";

    private final Loop mLoop = new Loop();
    private final MapStore mStore = new MapStore();
    private final ManualTimeSource mTime = new ManualTimeSource();
    private final CopyOnWriteArrayList<String> mEvents = new CopyOnWriteArrayList<>();
    private final LeaveRecords mRecords = newRecords();

    @AfterEach
    void close() throws Exception {
        mLoop.close();
    }

    private LeaveRecords newRecords() {
        EventLog events =
                new EventLog("n", new HybridClock(mTime), 100, e -> mEvents.add(e.toString()));
        return new LeaveRecords(mLoop.loop(), mTime, mStore, events);
    }

    /** Writes a record and waits until a report of the server would be acknowledged. */
    private void write(LeaveRecords records, long startedAtMillis) throws Exception {
        CompletableFuture<Void> done = new CompletableFuture<>();
        mLoop.run(() -> records.write("a", startedAtMillis, () -> done.complete(null)));
        Loop.get(done);
    }

    private Map<String, Long> load() throws Exception {
        Map<String, Long> loaded = new ConcurrentHashMap<>();
        CompletableFuture<Void> done = new CompletableFuture<>();
        LeaveRecords starting = newRecords();
        mLoop.run(() -> starting.load(loaded::put, () -> done.complete(null)));
        Loop.get(done);
        return loaded;
    }

    @Nested
    class Incarnations {
        // Guards against a record that is written only if there is none: the second leave of a
        // server was acknowledged without a record.
        @Test
        void laterIncarnationReplacesTheRecordOfAnEarlierOne() throws Exception {
            write(mRecords, 5);
            write(mRecords, 8);
            assertThat(load()).containsEntry("a", 8L);
        }

        @Test
        void laterIncarnationReplacesTheRecordOfAnotherProcess() throws Exception {
            write(newRecords(), 5);
            write(mRecords, 8);
            assertThat(load()).containsEntry("a", 8L);
        }

        @Test
        void lateReportOfAnEarlierIncarnationKeepsTheRecord() throws Exception {
            write(newRecords(), 8);
            write(mRecords, 5);
            assertThat(load()).containsEntry("a", 8L);
        }

        // Guards against an order of reports, processes and outages that leaves an older
        // incarnation in the store. All within the minute in which a record is needed.
        @RepeatedTest(40)
        void recordHasTheNewestIncarnationAfterAnyOrderOfReports(RepetitionInfo repetition)
                throws Exception {
            Random random = new Random(repetition.getCurrentRepetition());
            LeaveRecords records = newRecords();
            long newest = 0;
            for (int i = 0; i < 12; i++) {
                mStore.setDown(random.nextInt(4) == 0);
                records = random.nextInt(4) == 0 ? newRecords() : records;
                mTime.advance(Duration.ofMillis(random.nextInt(4_000)));
                long startedAtMillis = 1 + random.nextInt(9);
                newest = Math.max(newest, startedAtMillis);
                write(records, startedAtMillis);
            }
            mStore.setDown(false);
            String expected = Long.toString(newest);
            Loop.await("the newest one", () -> expected.equals(mStore.text(RECORD)));
        }
    }

    @Nested
    class Leases {
        @Test
        void furtherReportRenewsTheLease() throws Exception {
            write(mRecords, 5);
            long lease = mStore.lease(RECORD);
            mTime.advance(Duration.ofSeconds(21));
            write(mRecords, 5);
            assertThat(mStore.lease(RECORD)).isGreaterThan(lease);
        }

        @Test
        void reportOfAFreshRecordCausesNoCall() throws Exception {
            write(mRecords, 5);
            long lease = mStore.lease(RECORD);
            mTime.advance(Duration.ofSeconds(19));
            write(mRecords, 5);
            assertThat(mStore.lease(RECORD)).isEqualTo(lease);
        }

        @Test
        void laterIncarnationGetsALeaseOfItsOwn() throws Exception {
            write(mRecords, 5);
            long lease = mStore.lease(RECORD);
            write(mRecords, 8);
            assertThat(mStore.lease(RECORD)).isGreaterThan(lease);
        }
    }

    @Nested
    class Resets {
        // Guards against a record that is missing for good after the store was restored from a copy
        // without it: the restarted node used a server that had left.
        @Test
        void recordLostInAResetIsWrittenAgain() throws Exception {
            mStore.takeCopy();
            write(mRecords, 5);
            mStore.restoreCopy();
            assertThat(mStore.has(RECORD)).isFalse();
            Loop.await("the record", () -> "5".equals(mStore.text(RECORD)));
            assertThat(load()).containsEntry("a", 5L);
        }

        @Test
        void recordOfAnEarlierIncarnationInTheCopyIsReplaced() throws Exception {
            write(mRecords, 5);
            mStore.takeCopy();
            write(mRecords, 8);
            mStore.restoreCopy();
            Loop.await("the record", () -> "8".equals(mStore.text(RECORD)));
        }

        @Test
        void recordThatNobodyNeedsIsNotWrittenAgain() throws Exception {
            mStore.takeCopy();
            write(mRecords, 5);
            mTime.advance(Duration.ofSeconds(60));
            mStore.restoreCopy();
            mLoop.run(() -> {});
            mLoop.run(() -> {});
            assertThat(mStore.has(RECORD)).isFalse();
        }
    }

    @Nested
    class Failures {
        // Guards against a leave that was acknowledged during an outage and never recorded.
        @Test
        void recordIsWrittenAfterAStoreOutage() throws Exception {
            mStore.setDown(true);
            write(mRecords, 5);
            assertThat(mEvents).anyMatch(e -> e.contains("LEAVE_NOT_RECORDED"));
            mStore.setDown(false);
            Loop.await("the record", () -> mStore.has(RECORD));
        }

        @Test
        void unreadableRecordIsReplaced() throws Exception {
            mStore.put(RECORD, "99999999999999999999".getBytes(StandardCharsets.UTF_8));
            write(mRecords, 5);
            assertThat(load()).containsEntry("a", 5L);
        }

        // Guards against a record that stands for all incarnations to come.
        @Test
        void recordOutOfRangeIsReplaced() throws Exception {
            String odd = Long.toString(Long.MAX_VALUE);
            mStore.put(RECORD, odd.getBytes(StandardCharsets.UTF_8));
            assertThat(load()).isEmpty();
            write(mRecords, 5);
            assertThat(load()).containsEntry("a", 5L);
        }

        @Test
        void unreadableRecordHidesNoOther() throws Exception {
            mStore.put("azurestage/left/odd", "[".repeat(200_000).getBytes(StandardCharsets.UTF_8));
            write(mRecords, 5);
            assertThat(load()).containsOnly(Map.entry("a", 5L));
        }
    }
}
