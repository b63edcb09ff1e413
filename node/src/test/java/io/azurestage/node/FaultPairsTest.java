package io.azurestage.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Two faults at the same time. FaultScenario checks the properties of every request. */
class FaultPairsTest {
    private static List<FaultScenario.Probe> sendRetryStorm(FaultScenario s) {
        List<FaultScenario.Probe> retries = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            retries.add(s.advance(2));
        }
        return retries;
    }

    @Test
    void slowdownAndSurge() throws Exception {
        try (FaultScenario s = new FaultScenario(Step.RUNNING).deadline(500)) {
            s.runToStep();
            IntStream.range(0, 60).forEach(i -> s.probe("b", "/bookings/surge" + i));
            s.check();
            s.releaseRequests();
            s.checkRepeat();
            s.mMesh.awaitIdle();
        }
    }

    @Test
    void surgeAndRetryStorm() throws Exception {
        try (FaultScenario s = new FaultScenario(Step.QUEUED)) {
            s.runToStep();
            IntStream.range(0, 60).forEach(i -> s.probe("b", "/bookings/surge" + i));
            List<FaultScenario.Probe> retries = sendRetryStorm(s);
            s.releaseRequests();
            s.check();
            for (FaultScenario.Probe p : retries) {
                assertThat(TestMesh.get(p.answer()).getStatus()).isEqualTo(200);
            }
            s.mMesh.awaitIdle();
        }
    }

    // Guards against retries that run an advance again at another server after its owner has died.
    @Test
    void ownerKilledAndRetryStorm() throws Exception {
        try (FaultScenario s = new FaultScenario(Step.RUNNING)) {
            s.runToStep();
            s.mMesh.add("a", "b");
            FaultScenario.replyWithChain(s.mMesh.backend(3));
            List<FaultScenario.Probe> retries = sendRetryStorm(s);
            s.mMesh.node(0).close();
            s.releaseRequests();
            s.check();
            retries.addAll(sendRetryStorm(s));
            s.check();
            for (FaultScenario.Probe p : retries) {
                assertThat(TestMesh.get(p.answer()).getContentAsString())
                        .contains("\"ran\":\"unknown\"");
            }
            assertThat(s.mMesh.backend(3).runs(FaultScenario.ADVANCE_PATH)).isEqualTo(0);
        }
    }

    @Test
    void linkLostTwice() throws Exception {
        try (FaultScenario s = new FaultScenario(Step.RUNNING)) {
            s.runToStep();
            s.linkToB().cut();
            s.linkToB().restore();
            Await.until(
                    "a second attempt of the advance is waiting",
                    () ->
                            s.mMesh
                                            .node(1)
                                            .context()
                                            .metrics()
                                            .ticketClaims()
                                            .labelValues("InProgress")
                                            .get()
                                    > 0);
            s.linkToB().cut();
            s.linkToB().restore();
            s.releaseRequests();
            s.check();
            s.checkRepeat();
            s.mMesh.awaitIdle();
        }
    }

    @Test
    void linkLostAndNodePaused() throws Exception {
        try (FaultScenario s = new FaultScenario(Step.RUNNING)) {
            s.runToStep();
            s.mTimeOfB.hold();
            s.linkToB().cut();
            s.mTime.advance(Duration.ofMinutes(5));
            s.linkToB().restore();
            s.mTimeOfB.resume();
            s.releaseRequests();
            s.check();
            s.checkRepeat();
            s.mMesh.awaitIdle();
        }
    }

    // Guards against an owner that drops a ticket during a pause shorter than the ticket window.
    @Test
    void ownerPausedAndAnswerLost() throws Exception {
        try (FaultScenario s = new FaultScenario(Step.ARRIVAL)) {
            String ticket = s.mMesh.ticket(s.mMesh.node(2), "b");
            List<String> responses = new ArrayList<>();
            for (int entry : new int[] {2, 0}) {
                org.eclipse.jetty.client.Request r =
                        s.mMesh.advance(
                                s.mMesh
                                        .request(s.mMesh.node(entry), "POST", "/advances/paused")
                                        .headers(h -> h.put(Headers.SERVICE, "b")),
                                ticket);
                responses.add(TestMesh.get(TestMesh.start(r)).getContentAsString());
                s.mTimeOfB.hold();
                s.mTime.advance(Duration.ofMinutes(5));
                s.mTimeOfB.resume();
            }
            assertThat(responses.get(0)).isEqualTo("b/advances/paused>c/advances/paused");
            assertThat(responses.get(1)).isEqualTo(responses.get(0));
            assertThat(s.mMesh.backend(1).runs("/advances/paused")).isEqualTo(1);
        }
    }

    @Test
    void truncatedAnswerAndRetryStorm() throws Exception {
        try (FaultScenario s = new FaultScenario(Step.RUNNING)) {
            s.runToStep();
            s.truncate();
            sendRetryStorm(s);
            s.releaseRequests();
            s.check();
            s.checkRepeat();
            assertThat(s.mMesh.backend(1).runs(FaultScenario.ADVANCE_PATH)).isEqualTo(1);
            s.mMesh.awaitIdle();
        }
    }

    // Guards against a resumed node that keeps an old configuration because the store is down.
    @Test
    void nodePausedAndStoreDownDuringAPush() throws Exception {
        try (TestCluster cluster = new TestCluster()) {
            Node first = cluster.startReady();
            Node paused = cluster.startReady(first.control());
            cluster.await("the nodes know each other", () -> first.aliveMembers() == 2);
            cluster.timeOf(paused).hold();
            cluster.pushConfig(70);
            cluster.mStore.mode(FakeStore.Mode.DOWN);
            cluster.awaitConfig(2, first);
            cluster.await("the paused node is considered dead", () -> first.aliveMembers() == 1);
            cluster.timeOf(paused).resume();
            cluster.awaitConfig(2, paused);
            assertThat(first.configNumber()).isEqualTo(2);
        }
    }
}
