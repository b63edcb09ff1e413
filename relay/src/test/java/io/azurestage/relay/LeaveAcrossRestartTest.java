package io.azurestage.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.azurestage.core.backend.Heartbeat;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/** A restarted node does not use a server that has told the process before it that it leaves. */
class LeaveAcrossRestartTest extends RelayScenario {
    private static final int OWNER = 1;
    private static final int RESTARTED = 2;
    private static final long FIRST = 2;
    private static final long SECOND = 3;
    private static final long LATE_SEQUENCE = 99;
    private static final String RECORD = "azurestage/left/server-1";

    /** Reports that an incarnation of the server leaves, and waits for the acknowledgement. */
    private void deregister(int relay, long startedAtMillis) throws Exception {
        CompletableFuture<Void> acknowledged = new CompletableFuture<>();
        mLoop.run(
                () ->
                        mRelays.get(relay)
                                .onDeregistered(
                                        "server-1",
                                        startedAtMillis,
                                        () -> acknowledged.complete(null)));
        Loop.get(acknowledged);
    }

    /** Sends a heartbeat of an incarnation, and waits for the acknowledgement. */
    private void report(int relay, long startedAtMillis, boolean draining, long sequence)
            throws Exception {
        Heartbeat h =
                new Heartbeat(
                        "server-1",
                        startedAtMillis,
                        "books",
                        mServer.address(),
                        10,
                        draining,
                        Duration.ZERO,
                        sequence);
        CompletableFuture<Void> acknowledged = new CompletableFuture<>();
        mLoop.run(() -> mRelays.get(relay).onHeartbeat(h, () -> acknowledged.complete(null)));
        Loop.get(acknowledged);
    }

    private void startServing() throws Exception {
        startNodes((r, s) -> s.getOutputStream().write(RawServer.ok(r, "")));
    }

    private InetSocketAddress restartOwner() throws Exception {
        InetSocketAddress entry = startNode("owner", "books");
        Loop.await("the node is ready", () -> mRelays.get(RESTARTED).isReady());
        return entry;
    }

    private int status(InetSocketAddress entry) {
        try {
            return sendRaw(entry, "GET", "/r/", "").status();
        } catch (IOException e) {
            throw new AssertionError("the request has no complete answer", e);
        }
    }

    // Guards against a second leave under one id that the record of the first one hides.
    @Test
    void serverThatLeavesAgainUnderItsIdIsNotUsed() throws Exception {
        startServing();
        deregister(OWNER, FIRST);
        assertThat(mStore.text(RECORD)).isEqualTo("2");
        report(OWNER, SECOND, false, 1);
        deregister(OWNER, SECOND);
        InetSocketAddress entry = restartOwner();
        report(RESTARTED, SECOND, false, LATE_SEQUENCE);
        assertThat(status(entry)).isEqualTo(503);
        assertThat(mServer.requests()).isEmpty();
    }

    @Test
    void serverThatDrainsAgainUnderItsIdIsNotUsed() throws Exception {
        startServing();
        report(OWNER, FIRST, true, LATE_SEQUENCE);
        assertThat(mStore.text(RECORD)).isEqualTo("2");
        report(OWNER, SECOND, false, 1);
        report(OWNER, SECOND, true, 2);
        InetSocketAddress entry = restartOwner();
        report(RESTARTED, SECOND, false, LATE_SEQUENCE);
        assertThat(status(entry)).isEqualTo(503);
        assertThat(mServer.requests()).isEmpty();
    }

    // Guards against a record of the incarnation that the node knows in place of the one that
    // leaves: the heartbeats of the new incarnation were lost.
    @Test
    void serverThatLeavesBeforeItsFirstHeartbeatIsNotUsed() throws Exception {
        startServing();
        deregister(OWNER, SECOND);
        assertThat(mStore.text(RECORD)).isEqualTo("3");
        InetSocketAddress entry = restartOwner();
        report(RESTARTED, SECOND, false, LATE_SEQUENCE);
        assertThat(status(entry)).isEqualTo(503);
    }

    // Guards against a server in use whose node takes it for gone after a restart, since a late
    // deregistration of the incarnation before was recorded as its own.
    @Test
    void lateDeregistrationOfTheIncarnationBeforeDoesNotConcernTheServer() throws Exception {
        startServing();
        report(OWNER, SECOND, false, 1);
        deregister(OWNER, FIRST);
        assertThat(mStore.text(RECORD)).isEqualTo("2");
        InetSocketAddress entry = restartOwner();
        report(RESTARTED, SECOND, false, 2);
        Loop.await("the server is used", () -> status(entry) == 200);
    }
}
