package io.azurestage.relay.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import io.azurestage.core.event.EventLog;
import io.azurestage.core.time.HybridClock;
import io.azurestage.core.time.TimeSource;
import io.azurestage.relay.Loop;
import io.azurestage.relay.MapStore;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class CallRecordsTest {
    private final Loop mLoop = new Loop();
    private final MapStore mStore = new MapStore();
    private final Set<String> mLoaded = ConcurrentHashMap.newKeySet();

    @AfterEach
    void close() throws Exception {
        mLoop.close();
    }

    private CallRecords newRecords() {
        EventLog events = new EventLog("n", new HybridClock(TimeSource.system()), 10, e -> {});
        return new CallRecords(mLoop.loop(), mStore, events);
    }

    private void writeUntilThere(CallRecords writer) throws Exception {
        Loop.await(
                "the record",
                () -> {
                    try {
                        mLoop.run(() -> writer.write("status"));
                    } catch (Exception e) {
                        throw new AssertionError(e);
                    }
                    return mStore.has("azurestage/called/status");
                });
    }

    @Test
    void startingNodeReadsTheRecordsOfOtherNodes() throws Exception {
        CallRecords writer = newRecords();
        mLoop.run(() -> writer.write("status"));
        Loop.await("the record", () -> mStore.has("azurestage/called/status"));
        CallRecords starting = newRecords();
        mLoop.run(() -> starting.load(mLoaded::add));
        Loop.await("the record is read", () -> mLoaded.equals(Set.of("status")));
    }

    @Test
    void recordIsWrittenAfterAStoreOutage() throws Exception {
        CallRecords writer = newRecords();
        mStore.setDown(true);
        mLoop.run(() -> writer.write("status"));
        mStore.setDown(false);
        writeUntilThere(writer);
    }

    @Test
    void recordsAreReadAfterAStoreOutage() throws Exception {
        mStore.put("azurestage/called/status", new byte[0]);
        mStore.setDown(true);
        CallRecords starting = newRecords();
        mLoop.run(() -> starting.load(mLoaded::add));
        mStore.setDown(false);
        Loop.await("the record is read", () -> mLoaded.contains("status"));
    }

    // Guards against records that are lost for good when the store is restored from an older copy.
    @Test
    void recordLostInAResetIsWrittenAgain() throws Exception {
        CallRecords writer = newRecords();
        mStore.takeCopy();
        mLoop.run(() -> writer.write("status"));
        Loop.await("the record", () -> mStore.has("azurestage/called/status"));
        mStore.restoreCopy();
        writeUntilThere(writer);
    }

    @Test
    void operationTooLongForAKeyIsNotRecorded() throws Exception {
        CallRecords writer = newRecords();
        mLoop.run(() -> writer.write("x".repeat(300)));
        assertThat(mStore.keys("azurestage/called/")).isEmpty();
    }
}
