package io.azurestage.node;

import static org.assertj.core.api.Assertions.assertThat;

import io.azurestage.core.memory.MemoryAccount;
import io.azurestage.core.time.TimeSource;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.client.ContentResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests a node whose clients hold as many connections as it allows. */
class ConnectionCapTest {
    private static final int MAX_CONNECTIONS = 2;

    private final Gate mGate = new Gate((q, s, c) -> FakeBackend.reply(s, c, 200, "late"));
    private TestMesh mMesh;

    @BeforeEach
    void start() throws Exception {
        mMesh = new TestMesh(new CappedNodes(), 3);
        mMesh.backend(0).behaviour(mGate);
    }

    @AfterEach
    void stop() throws Exception {
        mGate.open();
        mMesh.close();
    }

    /** Gives the first node a low cap. */
    private static final class CappedNodes implements TestMesh.Environment {
        @Override
        public TimeSource time(String nodeId) {
            return TimeSource.system();
        }

        @Override
        public ClientBounds bounds(String nodeId) {
            return nodeId.equals("node-0")
                    ? new ClientBounds(
                            MemoryAccount.unlimited(), new ConnectionCap(MAX_CONNECTIONS))
                    : TestMesh.bounds();
        }
    }

    private CompletableFuture<ContentResponse> call(int node) {
        return TestMesh.start(
                mMesh.request(mMesh.node(node), "GET", "/bookings/1")
                        .headers(h -> h.put(Headers.DEADLINE_MS, 60_000)));
    }

    /** Starts calls on connections of their own, which run until the gate opens. */
    private List<CompletableFuture<ContentResponse>> hold(int calls) {
        List<CompletableFuture<ContentResponse>> held = new ArrayList<>();
        for (int i = 0; i < calls; i++) {
            held.add(call(0));
            mGate.awaitEntered(i + 1);
        }
        return held;
    }

    // Guards against counting the connections of nodes among those of clients.
    @Test
    void otherNodesReachANodeWithManyClients() throws Exception {
        List<CompletableFuture<ContentResponse>> held = hold(MAX_CONNECTIONS);
        CompletableFuture<ContentResponse> fromOtherNode = call(1);
        mGate.awaitEntered(MAX_CONNECTIONS + 1);
        mGate.open();
        assertThat(TestMesh.get(fromOtherNode).getContentAsString()).isEqualTo("late");
        for (CompletableFuture<ContentResponse> answer : held) {
            assertThat(TestMesh.get(answer).getContentAsString()).isEqualTo("late");
        }
    }

    // Guards against closing a new connection without an answer because all others are in use.
    @Test
    void requestOnOneConnectionTooManyIsRefused() throws Exception {
        List<CompletableFuture<ContentResponse>> held = hold(MAX_CONNECTIONS);
        ContentResponse refusal = TestMesh.get(call(0));
        assertThat(refusal.getStatus()).isEqualTo(503);
        assertThat(refusal.getContentAsString())
                .contains("\"kind\":\"overloaded\"", "\"ran\":\"not-run\"");
        assertThat(refusal.getHeaders().getLongField("Retry-After")).isPositive();
        mGate.open();
        for (CompletableFuture<ContentResponse> answer : held) {
            assertThat(TestMesh.get(answer).getContentAsString()).isEqualTo("late");
        }
        assertThat(TestMesh.get(call(0)).getContentAsString()).isEqualTo("late");
    }
}
