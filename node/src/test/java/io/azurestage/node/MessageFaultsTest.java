package io.azurestage.node;

import static org.assertj.core.api.Assertions.assertThat;

import io.azurestage.config.WorkClass;
import io.azurestage.core.context.NodeIdentity;
import io.azurestage.core.context.RequestContext;
import io.azurestage.core.context.RequestId;
import java.time.Duration;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.client.ContentResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Messages that come late, twice or cut short, and health endpoints that lie. */
class MessageFaultsTest {
    private static final String PATH = "/bookings/copy";

    private FaultScenario mScene;

    @AfterEach
    void stop() throws Exception {
        mScene.close();
    }

    /** An attempt as the node of service a sends it to the node of service b. */
    private String attempt(NodeIdentity to, Duration left) {
        DataPlane a = mScene.mMesh.node(0);
        return a.shared()
                .contexts()
                .encode(
                        new RequestContext(
                                RequestId.random(new Random(5)),
                                "hire",
                                WorkClass.NORMAL,
                                mScene.mTime.now().plus(left),
                                0,
                                42,
                                1,
                                1,
                                true,
                                false,
                                to,
                                a.shared().clock().tick()));
    }

    private CompletableFuture<ContentResponse> send(String attempt) {
        return TestMesh.start(
                mScene.mMesh
                        .http2(mScene.mMesh.node(1), "GET", PATH)
                        .headers(
                                h -> {
                                    h.put(Headers.SERVICE, "b");
                                    h.put(Headers.CONTEXT, attempt);
                                }));
    }

    private void awaitStep(Step step, CompletableFuture<ContentResponse> first) throws Exception {
        switch (step) {
            case ARRIVAL -> {}
            case ANSWERED -> TestMesh.get(first);
            case QUEUED ->
                    Await.until(
                            "the attempt is queued",
                            () -> mScene.mMesh.node(1).admission().status().queued() >= 3);
            default -> mScene.awaitHeld(3);
        }
    }

    // Guards against a second run when a message is delivered twice.
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
    void duplicated(Step step) throws Exception {
        mScene = new FaultScenario(step);
        mScene.bring();
        String attempt = attempt(mScene.mMesh.node(1).identity(), Duration.ofSeconds(60));
        CompletableFuture<ContentResponse> first = send(attempt);
        awaitStep(step, first);
        if (step == Step.DRAINING) {
            mScene.mMesh.drain(1);
        } else if (step == Step.CONFIGURATION_PUSH) {
            mScene.mMesh.push(70);
        }
        ContentResponse second = TestMesh.get(send(attempt));
        mScene.open();
        ContentResponse one = TestMesh.get(first);
        // At the arrival, either copy may be the first.
        boolean swapped = one.getStatus() != 200;
        assertThat((swapped ? second : one).getContentAsString())
                .isEqualTo("b" + PATH + ">c" + PATH);
        assertThat((swapped ? one : second).getContentAsString())
                .contains("\"kind\":\"invalid-context\"", "\"ran\":\"unknown\"");
        assertThat(mScene.mMesh.backend(1).runs(PATH)).isEqualTo(1);
        mScene.check();
    }

    // Guards against work for an attempt whose caller has given up.
    @Test
    void late() throws Exception {
        mScene = new FaultScenario(Step.ARRIVAL);
        String attempt = attempt(mScene.mMesh.node(1).identity(), Duration.ofSeconds(1));
        mScene.mTime.advance(Duration.ofSeconds(2));
        assertThat(TestMesh.get(send(attempt)).getContentAsString())
                .contains("\"kind\":\"deadline-exceeded\"", "\"ran\":\"not-run\"");
        assertThat(mScene.mMesh.backend(1).runs(PATH)).isEqualTo(0);
    }

    // Guards against a truncated answer that is passed on as whole, and a second run after it.
    @ParameterizedTest
    @EnumSource(
            value = Step.class,
            names = {"ANSWER_UNDER_WAY", "DRAINING", "CONFIGURATION_PUSH"})
    void truncated(Step step) throws Exception {
        mScene = new FaultScenario(step == Step.ANSWER_UNDER_WAY ? Step.DISPATCHED : step);
        mScene.bring();
        mScene.truncate();
        if (step == Step.DRAINING) {
            mScene.mMesh.drain(1);
        } else if (step == Step.CONFIGURATION_PUSH) {
            mScene.mMesh.push(70);
        }
        mScene.open();
        mScene.check();
        for (FaultScenario.Probe p : mScene.probes()) {
            assertThat(TestMesh.get(p.answer()).getContentAsString())
                    .contains("\"ran\":\"unknown\"");
        }
        assertThat(mScene.mMesh.backend(1).runs(FaultScenario.ADVANCE_PATH)).isEqualTo(1);
        mScene.checkRepeat();
        mScene.mMesh.awaitIdle();
    }

    // Guards against routing that believes a health endpoint instead of the answers.
    @Test
    void lyingHealth() throws Exception {
        mScene = new FaultScenario(Step.ARRIVAL);
        mScene.bring();
        mScene.mMesh
                .backend(1)
                .behaviour(
                        (q, s, c) -> {
                            if (q.getHttpURI().getPath().contains("health")) {
                                FakeBackend.reply(s, c, 200, "healthy");
                            } else {
                                FakeBackend.breakOff(s, c);
                            }
                        });
        mScene.sendBoth();
        mScene.check();
        assertThat(mScene.mMesh.backend(1).runs())
                .isEqualTo(
                        mScene.mMesh.backend(1).runs(FaultScenario.GET_PATH)
                                + mScene.mMesh.backend(1).runs(FaultScenario.ADVANCE_PATH));
    }

    // Guards against calls that run before the node knows the configuration.
    @ParameterizedTest
    @EnumSource(
            value = Fault.class,
            names = {"SURGE", "RETRY_STORM", "LATE_OR_DUPLICATED"})
    void whileJoining(Fault fault) throws Exception {
        mScene = new FaultScenario(Step.ARRIVAL);
        FakeBackend backend = new FakeBackend("a", "");
        try (backend;
                DataPlane joining =
                        DataPlane.start(
                                TestMesh.settings("joining", "a", backend.address()),
                                mScene.mTime,
                                e -> {})) {
            String ticket = mScene.mMesh.ticket(mScene.mMesh.node(0), "a");
            String copied = attempt(joining.identity(), Duration.ofSeconds(60));
            for (int i = 0; i < 20; i++) {
                org.eclipse.jetty.client.Request r =
                        mScene.mMesh.request(joining, "GET", "/bookings/" + i);
                String ran = "not-run";
                if (fault == Fault.RETRY_STORM) {
                    // An earlier attempt may have run elsewhere.
                    mScene.mMesh.advance(r.method("POST").path("/advances/1"), ticket);
                    ran = "unknown";
                } else if (fault == Fault.LATE_OR_DUPLICATED) {
                    r.headers(h -> h.put(Headers.CONTEXT, copied));
                    // Nothing is said of an attempt that was seen before.
                    ran = i == 0 ? "not-run" : "unknown";
                }
                assertThat(TestMesh.get(TestMesh.start(r)).getContentAsString())
                        .contains("\"ran\":\"" + ran + "\"");
            }
            assertThat(backend.runs()).isEqualTo(0);
        }
    }
}
