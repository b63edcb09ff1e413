package io.azurestage.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Two faults at the same time. FaultScenario checks the properties of every request. */
class FaultPairsTest {
    private static List<FaultScenario.Probe> storm(FaultScenario s) {
        List<FaultScenario.Probe> repeats = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            repeats.add(s.advance(2));
        }
        return repeats;
    }

    @Test
    void slowdownAndSurge() throws Exception {
        try (FaultScenario s = new FaultScenario(Step.RUNNING).deadline(500)) {
            s.bring();
            IntStream.range(0, 60).forEach(i -> s.probe("b", "/bookings/surge" + i));
            s.check();
            s.open();
            s.checkRepeat();
            s.mMesh.awaitIdle();
        }
    }

    @Test
    void surgeAndRetryStorm() throws Exception {
        try (FaultScenario s = new FaultScenario(Step.QUEUED)) {
            s.bring();
            IntStream.range(0, 60).forEach(i -> s.probe("b", "/bookings/surge" + i));
            List<FaultScenario.Probe> repeats = storm(s);
            s.open();
            s.check();
            for (FaultScenario.Probe p : repeats) {
                assertThat(TestMesh.get(p.answer()).getStatus()).isEqualTo(200);
            }
            s.mMesh.awaitIdle();
        }
    }

    // Guards against repeats that run an advance again at another server when its owner is gone.
    @Test
    void ownerKilledAndRetryStorm() throws Exception {
        try (FaultScenario s = new FaultScenario(Step.RUNNING)) {
            s.bring();
            s.mMesh.add("a", "b");
            FaultScenario.answerOfChain(s.mMesh.backend(3));
            List<FaultScenario.Probe> repeats = storm(s);
            s.mMesh.node(0).close();
            s.open();
            s.check();
            repeats.addAll(storm(s));
            s.check();
            for (FaultScenario.Probe p : repeats) {
                assertThat(TestMesh.get(p.answer()).getContentAsString())
                        .contains("\"ran\":\"unknown\"");
            }
            assertThat(s.mMesh.backend(3).runs(FaultScenario.ADVANCE_PATH)).isEqualTo(0);
        }
    }

    @Test
    void linkLostTwice() throws Exception {
        try (FaultScenario s = new FaultScenario(Step.RUNNING)) {
            s.bring();
            s.linkToB().cut();
            s.linkToB().restore();
            Await.until(
                    "a second attempt of the advance waits",
                    () ->
                            s.mMesh
                                            .node(1)
                                            .shared()
                                            .metrics()
                                            .ticketClaims()
                                            .labelValues("InProgress")
                                            .get()
                                    > 0);
            s.linkToB().cut();
            s.linkToB().restore();
            s.open();
            s.check();
            s.checkRepeat();
            s.mMesh.awaitIdle();
        }
    }

    @Test
    void linkLostAndNodePaused() throws Exception {
        try (FaultScenario s = new FaultScenario(Step.RUNNING)) {
            s.bring();
            s.mTimeOfB.hold();
            s.linkToB().cut();
            s.mTime.advance(Duration.ofMinutes(5));
            s.linkToB().restore();
            s.mTimeOfB.resume();
            s.open();
            s.check();
            s.checkRepeat();
            s.mMesh.awaitIdle();
        }
    }

    // Guards against an owner that forgets a ticket while it is paused within the ticket's window.
    @Test
    void ownerPausedAndAnswerLost() throws Exception {
        try (FaultScenario s = new FaultScenario(Step.ARRIVAL)) {
            String ticket = s.mMesh.ticket(s.mMesh.node(2), "b");
            List<String> answers = new ArrayList<>();
            for (int entry : new int[] {2, 0}) {
                org.eclipse.jetty.client.Request r =
                        s.mMesh.advance(
                                s.mMesh
                                        .request(s.mMesh.node(entry), "POST", "/advances/paused")
                                        .headers(h -> h.put(Headers.SERVICE, "b")),
                                ticket);
                answers.add(TestMesh.get(TestMesh.start(r)).getContentAsString());
                s.mTimeOfB.hold();
                s.mTime.advance(Duration.ofMinutes(5));
                s.mTimeOfB.resume();
            }
            assertThat(answers.get(0)).isEqualTo("b/advances/paused>c/advances/paused");
            assertThat(answers.get(1)).isEqualTo(answers.get(0));
            assertThat(s.mMesh.backend(1).runs("/advances/paused")).isEqualTo(1);
        }
    }

    @Test
    void truncatedAnswerAndRetryStorm() throws Exception {
        try (FaultScenario s = new FaultScenario(Step.RUNNING)) {
            s.bring();
            s.truncate();
            storm(s);
            s.open();
            s.check();
            s.checkRepeat();
            assertThat(s.mMesh.backend(1).runs(FaultScenario.ADVANCE_PATH)).isEqualTo(1);
            s.mMesh.awaitIdle();
        }
    }

    // Guards against a resumed node that stays behind because the store cannot tell it.
    @Test
    void nodePausedAndStoreDownDuringAPush() throws Exception {
        try (TestCluster nodes = new TestCluster()) {
            Node first = nodes.ready();
            Node paused = nodes.ready(first.control());
            nodes.await("they know each other", () -> first.aliveMembers() == 2);
            nodes.timeOf(paused).hold();
            nodes.pushed(70);
            nodes.mStore.mode(FakeStore.Mode.DOWN);
            nodes.awaitConfig(2, first);
            nodes.await("the paused node is taken for dead", () -> first.aliveMembers() == 1);
            nodes.timeOf(paused).resume();
            nodes.awaitConfig(2, paused);
            assertThat(first.configNumber()).isEqualTo(2);
        }
    }
}
