package io.azurestage.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Injects faults at service b, in the middle of a chain, at each step of a request. FaultScenario
 * checks that every caller receives its own complete answer or a refusal, that no request reported
 * as not-run has run, that an advance runs at most once, and that retries stay within the
 * allowance.
 */
class PathFaultsTest {
    private FaultScenario mScenario;

    private void startScene(Step step) throws Exception {
        mScenario = new FaultScenario(step);
        mScenario.runToStep();
        changeNode(step);
    }

    private void changeNode(Step step) throws Exception {
        if (step == Step.DRAINING) {
            mScenario.mMesh.drain(1);
        } else if (step == Step.CONFIGURATION_PUSH) {
            mScenario.mMesh.push(70);
        }
    }

    private void sendAtArrival(Step step) {
        if (step == Step.ARRIVAL) {
            mScenario.sendBoth();
        }
    }

    private void finish(Step step) throws Exception {
        mScenario.releaseRequests();
        mScenario.check();
        mScenario.checkRepeat();
        if (step == Step.DRAINING) {
            // P6: a draining server accepts no new work.
            assertThat(TestMesh.get(mScenario.probe("b", "/bookings/new").answer()).getStatus())
                    .isNotEqualTo(200);
            assertThat(mScenario.mMesh.backend(1).runs("/bookings/new")).isEqualTo(0);
        }
    }

    private void assertBothSucceeded() throws Exception {
        for (int i = 0; i < 3; i++) {
            assertThat(mScenario.mMesh.backend(i).runs(FaultScenario.ADVANCE_PATH)).isEqualTo(1);
        }
        assertThat(TestMesh.get(mScenario.advance(0).answer()).getStatus()).isEqualTo(200);
    }

    @AfterEach
    void stop() throws Exception {
        mScenario.close();
    }

    // Guards against slots that are not released, and against answers after the deadline.
    @ParameterizedTest
    @EnumSource(
            value = Step.class,
            names = {
                "ARRIVAL",
                "QUEUED",
                "DISPATCHED",
                "RUNNING",
                "ANSWER_UNDER_WAY",
                "DRAINING",
                "CONFIGURATION_PUSH"
            })
    void slowdown(Step step) throws Exception {
        mScenario = new FaultScenario(step == Step.ARRIVAL ? Step.DISPATCHED : step).deadline(500);
        mScenario.runToStep();
        changeNode(step);
        mScenario.check();
        finish(step);
        mScenario.mMesh.awaitIdle();
    }

    // Guards against losing an advance because of a surge of the partner's other requests.
    @ParameterizedTest
    @EnumSource(
            value = Step.class,
            names = {
                "ARRIVAL",
                "QUEUED",
                "DISPATCHED",
                "RUNNING",
                "ANSWER_UNDER_WAY",
                "ANSWERED",
                "DRAINING",
                "CONFIGURATION_PUSH"
            })
    void surge(Step step) throws Exception {
        startScene(step);
        IntStream.range(0, 60).forEach(i -> mScenario.probe("b", "/bookings/surge" + i));
        sendAtArrival(step);
        finish(step);
        assertBothSucceeded();
        mScenario.mMesh.awaitIdle();
    }

    // Guards against repeats that run again, and against repeats that receive a different answer.
    @ParameterizedTest
    @EnumSource(
            value = Step.class,
            names = {
                "ARRIVAL",
                "QUEUED",
                "DISPATCHED",
                "RUNNING",
                "ANSWER_UNDER_WAY",
                "ANSWERED",
                "DRAINING",
                "CONFIGURATION_PUSH"
            })
    void retryStorm(Step step) throws Exception {
        startScene(step);
        List<FaultScenario.Probe> repeats = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            repeats.add(mScenario.advance(i % 2 == 0 ? 0 : 2));
        }
        sendAtArrival(step);
        finish(step);
        for (FaultScenario.Probe p : repeats) {
            assertThat(TestMesh.get(p.answer()).getStatus()).isEqualTo(200);
        }
        assertBothSucceeded();
        mScenario.mMesh.awaitIdle();
    }

    // Guards against a second run of an advance after the node named by its ticket was killed.
    @ParameterizedTest
    @EnumSource(
            value = Step.class,
            names = {
                "ARRIVAL",
                "QUEUED",
                "DISPATCHED",
                "RUNNING",
                "ANSWER_UNDER_WAY",
                "ANSWERED",
                "DRAINING",
                "CONFIGURATION_PUSH"
            })
    void nodeKilled(Step step) throws Exception {
        startScene(step);
        mScenario.mMesh.node(1).close();
        sendAtArrival(step);
        finish(step);
    }

    // Guards against a node that, after a pause, has lost its tickets or runs expired work.
    @ParameterizedTest
    @EnumSource(
            value = Step.class,
            names = {
                "ARRIVAL",
                "QUEUED",
                "DISPATCHED",
                "RUNNING",
                "ANSWER_UNDER_WAY",
                "ANSWERED",
                "DRAINING",
                "CONFIGURATION_PUSH"
            })
    void nodePaused(Step step) throws Exception {
        startScene(step);
        mScenario.mTimeOfB.hold();
        sendAtArrival(step);
        if (step == Step.ARRIVAL) {
            Await.until("a works", () -> mScenario.mMesh.backend(0).runs() >= 2);
        }
        mScenario.releaseRequests();
        mScenario.mTime.advance(Duration.ofMinutes(5));
        mScenario.mTimeOfB.resume();
        finish(step);
        mScenario.mMesh.awaitIdle();
    }

    // Guards against truncated answers and repeated advances after the loss of a link.
    @ParameterizedTest
    @EnumSource(
            value = Step.class,
            names = {
                "ARRIVAL",
                "QUEUED",
                "DISPATCHED",
                "RUNNING",
                "ANSWER_UNDER_WAY",
                "ANSWERED",
                "DRAINING",
                "CONFIGURATION_PUSH"
            })
    void linkLost(Step step) throws Exception {
        startScene(step);
        mScenario.linkToB().cut();
        sendAtArrival(step);
        if (step == Step.ARRIVAL) {
            mScenario.check();
        }
        mScenario.linkToB().restore();
        finish(step);
        mScenario.mMesh.awaitIdle();
    }
}
