package io.azurestage.node;

import static org.assertj.core.api.Assertions.assertThat;

import io.azurestage.store.PushResult;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Faults while nodes join, leave and take a new configuration. */
class ControlFaultsTest {
    private static final HostPort NOBODY = new HostPort("127.0.0.1", 9);

    private TestCluster mNodes;

    @BeforeEach
    void start() throws Exception {
        mNodes = new TestCluster();
    }

    @AfterEach
    void stop() throws Exception {
        mNodes.close();
    }

    // Guards against a node that serves without a configuration, and one that never joins again.
    @Test
    void storeDownWhileJoining() throws Exception {
        Node first = mNodes.ready();
        mNodes.mStore.mode(FakeStore.Mode.DOWN);
        Node alone = mNodes.start(NOBODY);
        mNodes.pass(Duration.ofSeconds(10));
        mNodes.checkJoining(alone);
        Node second = mNodes.ready(first.control());
        assertThat(second.configNumber()).isEqualTo(1);
        mNodes.checkServing(second);
        mNodes.mStore.mode(FakeStore.Mode.UP);
        mNodes.await("the lone node is ready", alone::isReady);
    }

    @Test
    void storeSlowWhileJoining() throws Exception {
        mNodes.mStore.mode(FakeStore.Mode.SLOW);
        Node n = mNodes.start();
        mNodes.await("the node reads the store", () -> mNodes.mStore.waiting() > 0);
        mNodes.pass(Duration.ofSeconds(10));
        mNodes.checkJoining(n);
        mNodes.mStore.mode(FakeStore.Mode.UP);
        mNodes.await("the node is ready", n::isReady);
        mNodes.checkServing(n);
    }

    // Guards against seeds that are written twice or lost after a write of unknown outcome.
    @Test
    void writeAnswerLostWhileJoining() throws Exception {
        mNodes.mStore.mode(FakeStore.Mode.LOSES_ANSWERS);
        Node n = mNodes.ready();
        mNodes.await("a write lost its answer", () -> mNodes.mStore.lostAnswers() > 0);
        mNodes.checkServing(n);
        mNodes.mStore.mode(FakeStore.Mode.UP);
        String seeds = mNodes.mStore.value(StoreKeys.SEEDS + "dc1");
        assertThat(seeds).containsOnlyOnce("\"n1\"");
    }

    // Guards against a second pair of watches each time the seeds have to be read again.
    @Test
    void aLostAnswerLeavesNoWatchBehind() throws Exception {
        mNodes.mStore.mode(FakeStore.Mode.LOSES_ANSWERS);
        Node n = mNodes.ready();
        mNodes.await("a write lost its answer", () -> mNodes.mStore.lostAnswers() > 0);
        mNodes.mStore.mode(FakeStore.Mode.UP);
        mNodes.pass(Duration.ofSeconds(10));
        // Configuration and seeds at the start, and both again after the lost answer.
        mNodes.await("the seeds are read again", () -> mNodes.mStore.reads() >= 4);
        n.drain();
        n.awaitStopped();
        assertThat(mNodes.mStore.watches()).isZero();
    }

    // Guards against requests that depend on the store.
    @ParameterizedTest
    @EnumSource(
            value = FakeStore.Mode.class,
            names = {"DOWN", "SLOW", "LOSES_ANSWERS"})
    void storeFaultWhileServingAndDraining(FakeStore.Mode mode) throws Exception {
        Node n = mNodes.ready();
        mNodes.mStore.mode(mode);
        mNodes.pass(Duration.ofSeconds(30));
        mNodes.checkServing(n);
        n.drain();
        n.awaitStopped();
    }

    // Guards against a version that reverts when the store loses the write after a fail-over.
    @Test
    void storeDownAfterAPush() throws Exception {
        Node first = mNodes.ready();
        Node second = mNodes.ready(first.control());
        String old = mNodes.mStore.value(StoreKeys.CONFIG);
        CompletableFuture<PushResult> push = mNodes.pushed(70);
        mNodes.mStore.mode(FakeStore.Mode.DOWN);
        assertThat(push.get()).isInstanceOf(PushResult.Accepted.class);
        mNodes.awaitConfig(2, first, second);
        mNodes.mStore.restore(StoreKeys.CONFIG, old);
        mNodes.mStore.mode(FakeStore.Mode.UP);
        mNodes.await(
                "the store has version 2 again",
                () -> mNodes.mStore.value(StoreKeys.CONFIG).contains("\"number\":2"));
        assertThat(first.configNumber()).isEqualTo(2);
        assertThat(second.configNumber()).isEqualTo(2);
    }

    @Test
    void storeSlowDuringAPush() throws Exception {
        Node n = mNodes.ready();
        mNodes.await("the node watches the store", () -> mNodes.mStore.watches() > 0);
        mNodes.mStore.mode(FakeStore.Mode.SLOW);
        CompletableFuture<PushResult> push = mNodes.pushed(70);
        mNodes.checkServing(n);
        assertThat(n.configNumber()).isEqualTo(1);
        mNodes.mStore.mode(FakeStore.Mode.UP);
        mNodes.await("the push ends", push::isDone);
        assertThat(push.get()).isInstanceOf(PushResult.Accepted.class);
        mNodes.awaitConfig(2, n);
    }

    // Guards against a push that is reported as failed, or made twice, after a lost answer.
    @Test
    void writeAnswerLostDuringAPush() throws Exception {
        Node n = mNodes.ready();
        mNodes.mStore.mode(FakeStore.Mode.LOSES_ANSWERS);
        CompletableFuture<PushResult> push = mNodes.pushed(70);
        mNodes.await("the push ends", push::isDone);
        assertThat(push.get()).isInstanceOf(PushResult.Accepted.class);
        mNodes.awaitConfig(2, n);
    }

    @Test
    void nodeKilledWhileJoining() throws Exception {
        Node first = mNodes.ready();
        mNodes.mStore.mode(FakeStore.Mode.SLOW);
        Node killed = mNodes.start(NOBODY);
        mNodes.await("the node reads the store", () -> mNodes.mStore.waiting() > 0);
        killed.close();
        mNodes.mStore.mode(FakeStore.Mode.UP);
        mNodes.checkServing(first);
        mNodes.checkServing(mNodes.ready(first.control()));
    }

    @Test
    void nodeKilledDuringAPush() throws Exception {
        Node first = mNodes.ready();
        Node second = mNodes.ready(first.control());
        CompletableFuture<PushResult> push = mNodes.pushed(70);
        first.close();
        assertThat(push.get()).isInstanceOf(PushResult.Accepted.class);
        mNodes.awaitConfig(2, second);
    }

    @Test
    void nodePausedWhileJoining() throws Exception {
        Node first = mNodes.ready();
        Node paused = mNodes.start(first.control());
        mNodes.timeOf(paused).hold();
        mNodes.pass(Duration.ofMinutes(2));
        mNodes.timeOf(paused).resume();
        mNodes.await("the node is ready", paused::isReady);
        mNodes.checkServing(paused);
    }

    // Guards against a paused node that brings an old version back, or stays dead for the others.
    @Test
    void nodePausedDuringAPush() throws Exception {
        Node first = mNodes.ready();
        Node paused = mNodes.ready(first.control());
        mNodes.await("they know each other", () -> first.aliveMembers() == 2);
        mNodes.timeOf(paused).hold();
        CompletableFuture<PushResult> push = mNodes.pushed(70);
        mNodes.awaitConfig(2, first);
        mNodes.await("the paused node is taken for dead", () -> first.aliveMembers() == 1);
        assertThat(paused.configNumber()).isEqualTo(1);
        mNodes.timeOf(paused).resume();
        mNodes.awaitConfig(2, paused);
        mNodes.await("the paused node is alive again", () -> first.aliveMembers() == 2);
        assertThat(first.configNumber()).isEqualTo(2);
        assertThat(push.get()).isInstanceOf(PushResult.Accepted.class);
    }

    @Test
    void linkLostWhileJoining() throws Exception {
        mNodes.mStore.mode(FakeStore.Mode.DOWN);
        Node n = mNodes.start(NOBODY);
        mNodes.pass(Duration.ofSeconds(30));
        mNodes.checkJoining(n);
        mNodes.mStore.mode(FakeStore.Mode.UP);
        mNodes.await("the node is ready", n::isReady);
        mNodes.checkServing(n);
    }
}
