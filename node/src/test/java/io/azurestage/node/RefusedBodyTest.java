package io.azurestage.node;

import static org.assertj.core.api.Assertions.assertThat;

import io.azurestage.core.memory.MemoryAccount;
import io.azurestage.core.time.ManualTimeSource;
import io.azurestage.core.time.TimeSource;
import java.time.Duration;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.ContentResponse;
import org.junit.jupiter.api.Test;

/** Tests calls that the node beside the server refuses without having read their whole body. */
class RefusedBodyTest {
    private static final int MAX_HELD_BYTES = 256 << 10;
    private static final int BODY_BYTES = 1 << 20;
    private static final int MAX_CONNECTIONS = 100;
    private static final int CALLS = 20;

    /** Gives the first node little memory for bodies. */
    private static final class SmallNode implements TestMesh.Environment {
        @Override
        public TimeSource time(String nodeId) {
            return TimeSource.system();
        }

        @Override
        public ClientBounds bounds(String nodeId) {
            MemoryAccount small = new MemoryAccount(MAX_HELD_BYTES, TimeSource.system());
            return nodeId.equals("node-0")
                    ? new ClientBounds(small, new ConnectionCap(MAX_CONNECTIONS))
                    : TestMesh.bounds();
        }
    }

    /** Gives the first node a clock that is ahead of any deadline. */
    private static final class NodeAhead implements TestMesh.Environment {
        private final ManualTimeSource mAhead = new ManualTimeSource();
        private final ManualTimeSource mOthers = new ManualTimeSource();

        NodeAhead() {
            mAhead.advance(Duration.ofMinutes(1));
        }

        @Override
        public TimeSource time(String nodeId) {
            return nodeId.equals("node-0") ? mAhead : mOthers;
        }
    }

    // Guards against reporting a broken answer, which may have run, in place of the refusal.
    private static void assertRefusedAsNotRun(TestMesh mesh, String kind) throws Exception {
        for (int i = 0; i < CALLS; i++) {
            ContentResponse r =
                    TestMesh.get(
                            TestMesh.start(
                                    mesh.request(mesh.node(1), "GET", "/bookings/1")
                                            .body(new BytesRequestContent(new byte[BODY_BYTES]))));
            assertThat(r.getContentAsString())
                    .contains("\"kind\":\"" + kind + "\"", "\"ran\":\"not-run\"");
        }
        assertThat(mesh.backend(0).runs()).isZero();
    }

    @Test
    void bodyThatANodeCannotHoldIsRefusedAsNotRun() throws Exception {
        try (TestMesh mesh = new TestMesh(new SmallNode(), 0)) {
            assertRefusedAsNotRun(mesh, "overloaded");
        }
    }

    @Test
    void callPastItsDeadlineIsRefusedAsNotRun() throws Exception {
        try (TestMesh mesh = new TestMesh(new NodeAhead(), 0)) {
            assertRefusedAsNotRun(mesh, "deadline-exceeded");
        }
    }
}
