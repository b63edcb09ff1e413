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

/** Store faults, killed nodes and paused nodes during a join, a drain or a configuration push. */
class ControlFaultsTest {
    private static final HostPort UNREACHABLE_SEED = new HostPort("127.0.0.1", 9);

    private TestCluster mCluster;

    @BeforeEach
    void start() throws Exception {
        mCluster = new TestCluster();
    }

    @AfterEach
    void stop() throws Exception {
        mCluster.close();
    }

    // Guards against a node that accepts calls without a configuration, and against one that does
    // not join after the store has recovered.
    @Test
    void storeDownWhileJoining() throws Exception {
        Node first = mCluster.startReady();
        mCluster.mStore.mode(FakeStore.Mode.DOWN);
        Node isolated = mCluster.start(UNREACHABLE_SEED);
        mCluster.advanceTime(Duration.ofSeconds(10));
        mCluster.checkJoining(isolated);
        Node second = mCluster.startReady(first.control());
        assertThat(second.configNumber()).isEqualTo(1);
        mCluster.checkServing(second);
        mCluster.mStore.mode(FakeStore.Mode.UP);
        mCluster.await("the isolated node is ready", isolated::isReady);
    }

    @Test
    void storeSlowWhileJoining() throws Exception {
        mCluster.mStore.mode(FakeStore.Mode.SLOW);
        Node n = mCluster.start();
        mCluster.await("the node reads the store", () -> mCluster.mStore.pendingCalls() > 0);
        mCluster.advanceTime(Duration.ofSeconds(10));
        mCluster.checkJoining(n);
        mCluster.mStore.mode(FakeStore.Mode.UP);
        mCluster.await("the node is ready", n::isReady);
        mCluster.checkServing(n);
    }

    // Guards against duplicate or lost seeds after a write whose outcome is unknown because its
    // response was lost.
    @Test
    void writeAnswerLostWhileJoining() throws Exception {
        mCluster.mStore.mode(FakeStore.Mode.LOSES_RESPONSES);
        Node n = mCluster.startReady();
        mCluster.await(
                "the response of a write is lost", () -> mCluster.mStore.lostResponses() > 0);
        mCluster.checkServing(n);
        mCluster.mStore.mode(FakeStore.Mode.UP);
        String seeds = mCluster.mStore.value(StoreKeys.SEEDS + "dc1");
        assertThat(seeds).containsOnlyOnce("\"n1\"");
    }

    // Guards against leaked watches: a lost write response makes the node read the store again,
    // which must not open a second pair of watches.
    @Test
    void aLostAnswerLeavesNoWatchBehind() throws Exception {
        mCluster.mStore.mode(FakeStore.Mode.LOSES_RESPONSES);
        Node n = mCluster.startReady();
        mCluster.await(
                "the response of a write is lost", () -> mCluster.mStore.lostResponses() > 0);
        mCluster.mStore.mode(FakeStore.Mode.UP);
        mCluster.advanceTime(Duration.ofSeconds(10));
        // Configuration and seeds are read at the start and again after the lost response.
        mCluster.await("the seeds are read again", () -> mCluster.mStore.reads() >= 4);
        n.drain();
        n.awaitStopped();
        assertThat(mCluster.mStore.openWatches()).isZero();
    }

    // Guards against request handling that depends on the store.
    @ParameterizedTest
    @EnumSource(
            value = FakeStore.Mode.class,
            names = {"DOWN", "SLOW", "LOSES_RESPONSES"})
    void storeFaultWhileServingAndDraining(FakeStore.Mode mode) throws Exception {
        Node n = mCluster.startReady();
        mCluster.mStore.mode(mode);
        mCluster.advanceTime(Duration.ofSeconds(30));
        mCluster.checkServing(n);
        n.drain();
        n.awaitStopped();
    }

    // Guards against a configuration that reverts when the store loses the write in a failover.
    @Test
    void storeDownAfterAPush() throws Exception {
        Node first = mCluster.startReady();
        Node second = mCluster.startReady(first.control());
        String old = mCluster.mStore.value(StoreKeys.CONFIG);
        CompletableFuture<PushResult> push = mCluster.pushConfig(70);
        mCluster.mStore.mode(FakeStore.Mode.DOWN);
        assertThat(push.get()).isInstanceOf(PushResult.Accepted.class);
        mCluster.awaitConfig(2, first, second);
        mCluster.mStore.restore(StoreKeys.CONFIG, old);
        mCluster.mStore.mode(FakeStore.Mode.UP);
        mCluster.await(
                "the store has version 2 again",
                () -> mCluster.mStore.value(StoreKeys.CONFIG).contains("\"number\":2"));
        assertThat(first.configNumber()).isEqualTo(2);
        assertThat(second.configNumber()).isEqualTo(2);
    }

    @Test
    void storeSlowDuringAPush() throws Exception {
        Node n = mCluster.startReady();
        mCluster.await("the node watches the store", () -> mCluster.mStore.openWatches() > 0);
        mCluster.mStore.mode(FakeStore.Mode.SLOW);
        CompletableFuture<PushResult> push = mCluster.pushConfig(70);
        mCluster.checkServing(n);
        assertThat(n.configNumber()).isEqualTo(1);
        mCluster.mStore.mode(FakeStore.Mode.UP);
        mCluster.await("the push ends", push::isDone);
        assertThat(push.get()).isInstanceOf(PushResult.Accepted.class);
        mCluster.awaitConfig(2, n);
    }

    // Guards against a push that is reported as failed, or applied twice, after a lost response.
    @Test
    void writeAnswerLostDuringAPush() throws Exception {
        Node n = mCluster.startReady();
        mCluster.mStore.mode(FakeStore.Mode.LOSES_RESPONSES);
        CompletableFuture<PushResult> push = mCluster.pushConfig(70);
        mCluster.await("the push ends", push::isDone);
        assertThat(push.get()).isInstanceOf(PushResult.Accepted.class);
        mCluster.awaitConfig(2, n);
    }

    @Test
    void nodeKilledWhileJoining() throws Exception {
        Node first = mCluster.startReady();
        mCluster.mStore.mode(FakeStore.Mode.SLOW);
        Node killed = mCluster.start(UNREACHABLE_SEED);
        mCluster.await("the node reads the store", () -> mCluster.mStore.pendingCalls() > 0);
        killed.close();
        mCluster.mStore.mode(FakeStore.Mode.UP);
        mCluster.checkServing(first);
        mCluster.checkServing(mCluster.startReady(first.control()));
    }

    @Test
    void nodeKilledDuringAPush() throws Exception {
        Node first = mCluster.startReady();
        Node second = mCluster.startReady(first.control());
        CompletableFuture<PushResult> push = mCluster.pushConfig(70);
        first.close();
        assertThat(push.get()).isInstanceOf(PushResult.Accepted.class);
        mCluster.awaitConfig(2, second);
    }

    @Test
    void nodePausedWhileJoining() throws Exception {
        Node first = mCluster.startReady();
        Node paused = mCluster.start(first.control());
        mCluster.timeOf(paused).hold();
        mCluster.advanceTime(Duration.ofMinutes(2));
        mCluster.timeOf(paused).resume();
        mCluster.await("the node is ready", paused::isReady);
        mCluster.checkServing(paused);
    }

    // Guards against a node that restores an old version after a pause, or that the other nodes
    // still consider dead.
    @Test
    void nodePausedDuringAPush() throws Exception {
        Node first = mCluster.startReady();
        Node paused = mCluster.startReady(first.control());
        mCluster.await("the nodes know each other", () -> first.aliveMembers() == 2);
        mCluster.timeOf(paused).hold();
        CompletableFuture<PushResult> push = mCluster.pushConfig(70);
        mCluster.awaitConfig(2, first);
        mCluster.await("the paused node is considered dead", () -> first.aliveMembers() == 1);
        assertThat(paused.configNumber()).isEqualTo(1);
        mCluster.timeOf(paused).resume();
        mCluster.awaitConfig(2, paused);
        mCluster.await("the paused node is alive again", () -> first.aliveMembers() == 2);
        assertThat(first.configNumber()).isEqualTo(2);
        assertThat(push.get()).isInstanceOf(PushResult.Accepted.class);
    }

    @Test
    void linkLostWhileJoining() throws Exception {
        mCluster.mStore.mode(FakeStore.Mode.DOWN);
        Node n = mCluster.start(UNREACHABLE_SEED);
        mCluster.advanceTime(Duration.ofSeconds(30));
        mCluster.checkJoining(n);
        mCluster.mStore.mode(FakeStore.Mode.UP);
        mCluster.await("the node is ready", n::isReady);
        mCluster.checkServing(n);
    }
}
