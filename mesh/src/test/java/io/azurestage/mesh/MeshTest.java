package io.azurestage.mesh;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.azurestage.core.context.NodeIdentity;
import io.azurestage.core.context.Signer;
import io.azurestage.core.membership.Member;
import io.azurestage.core.membership.MembershipListener;
import io.azurestage.core.spread.ConfigListener;
import io.azurestage.core.spread.ConfigRecord;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
class MeshTest {
    private static final Signer SIGNER = signer("0123456789abcdef");
    private static final Signer OTHER_SIGNER = signer("fedcba9876543210");

    private final List<Mesh> mRunning = new ArrayList<>();

    /** Events of one node, in the order in which they happened. */
    private static final class Events implements MembershipListener, ConfigListener {
        final BlockingQueue<Member> mMembers = new LinkedBlockingQueue<>();
        final CompletableFuture<ConfigRecord> mConfig = new CompletableFuture<>();

        @Override
        public void onChange(Member before, Member after) {
            mMembers.add(after);
        }

        @Override
        public void onAdopted(ConfigRecord record) {
            mConfig.complete(record);
        }

        void await(Mesh other, Member.State state) throws InterruptedException {
            String id = other.self().nodeId();
            Member m = mMembers.take();
            while (!m.nodeId().equals(id) || m.state() != state) {
                m = mMembers.take();
            }
        }
    }

    private static Signer signer(String key) {
        return new Signer(key.getBytes(StandardCharsets.UTF_8));
    }

    private static Member member(String id, int port) {
        return Member.joining(
                new NodeIdentity(id, 1),
                "bookings",
                new Member.Addresses("127.0.0.1:1", "127.0.0.1:" + port, "127.0.0.1:2"),
                new Member.Location("dc-1", "region-1"),
                10,
                0);
    }

    private Mesh start(String id, Signer signer, Events events) {
        Mesh m = Mesh.start(MeshSettings.of(member(id, 0), signer), events, events);
        mRunning.add(m);
        return m;
    }

    private static InetSocketAddress address(Mesh m) {
        return Address.parse(m.self().addresses().control()).orElseThrow();
    }

    @AfterEach
    void closeAll() {
        mRunning.forEach(Mesh::close);
    }

    @Nested
    class Nodes {
        private final Events mEvents = new Events();
        private final Events mOtherEvents = new Events();
        private final Mesh mNode = start("node-a", SIGNER, mEvents);
        private final Mesh mOther = start("node-b", SIGNER, mOtherEvents);

        private void join() throws InterruptedException {
            mOther.addSeeds(List.of(mNode.self().addresses().control()));
            mEvents.await(mOther, Member.State.JOINING);
            mOtherEvents.await(mNode, Member.State.JOINING);
        }

        // Guards against a join or a state change that does not reach the other node.
        @Test
        void joinThroughASeedAndSeeStateChanges() throws Exception {
            join();
            mNode.setState(Member.State.DRAINING).get();
            mOtherEvents.await(mNode, Member.State.DRAINING);
            mNode.setState(Member.State.LEFT).get();
            mNode.close();
            mOtherEvents.await(mNode, Member.State.LEFT);
            assertThat(mOther.stats().forged()).isZero();
        }

        // Guards against a document that fits into the store but not into a frame.
        @Test
        void transferADocumentOfOneMegabyte() throws Exception {
            join();
            String document = "x".repeat(ConfigRecord.MAX_DOCUMENT_BYTES);
            ConfigRecord r = new ConfigRecord(3, "c", "op", Instant.EPOCH, document);
            assertThat(mNode.offerConfig(r).get()).isEqualTo(r);
            assertThat(mOtherEvents.mConfig.get()).isEqualTo(r);
        }

        // Guards against accepting a lower version or an oversized document from a caller.
        @Test
        void keepTheCurrentVersionWhenOfferedALowerOrTooLongOne() throws Exception {
            ConfigRecord r = new ConfigRecord(3, "c", "op", Instant.EPOCH, "{}");
            mNode.offerConfig(r).get();
            ConfigRecord lower = new ConfigRecord(2, "z", "op", Instant.EPOCH, "{}");
            assertThat(mNode.offerConfig(lower).get()).isEqualTo(r);
            String document = "x".repeat(ConfigRecord.MAX_DOCUMENT_BYTES + 1);
            assertThatThrownBy(
                            () ->
                                    mNode.offerConfig(
                                                    new ConfigRecord(
                                                            4, "c", "op", Instant.EPOCH, document))
                                            .get())
                    .hasCauseInstanceOf(IllegalArgumentException.class);
            assertThat(mNode.config()).contains(r);
        }
    }

    @Nested
    class InvalidMessages {
        private final Events mEvents = new Events();
        private final Mesh mNode = start("node-a", SIGNER, mEvents);

        // Guards against a node that joins without the key.
        @Test
        void nodeWithAnotherKeyIsNotAdmitted() throws Exception {
            Mesh unauthorised = start("stranger", OTHER_SIGNER, new Events());
            unauthorised.addSeeds(List.of(mNode.self().addresses().control()));
            Mesh authorised = start("node-b", SIGNER, new Events());
            awaitCount(() -> mNode.stats().forged());
            authorised.addSeeds(List.of(mNode.self().addresses().control()));
            mEvents.await(authorised, Member.State.JOINING);
            assertThat(mNode.members()).extracting(Member::nodeId).doesNotContain("stranger");
        }

        // Guards against reserving memory for any frame length that a peer announces.
        @Test
        void frameOverTheLimitClosesTheConnection() throws Exception {
            try (Socket s = new Socket()) {
                s.connect(address(mNode));
                s.getOutputStream().write(new byte[] {-1, -1, -1, -1, 7, 0});
                assertThat(s.getInputStream().read()).isEqualTo(-1);
            }
            assertThat(mNode.stats().oversized()).isEqualTo(1);
        }

        // Guards against a datagram handler that stops at the first invalid datagram.
        @Test
        void invalidDatagramsAreCountedAndDoNotStopTheNode() throws Exception {
            try (DatagramSocket s = new DatagramSocket()) {
                s.send(new DatagramPacket(new byte[1300], 1300, address(mNode)));
                s.send(new DatagramPacket(new byte[] {1, 2, 3}, 3, address(mNode)));
                s.send(new DatagramPacket(new byte[0], 0, address(mNode)));
            }
            awaitCount(() -> mNode.stats().forged());
            assertThat(mNode.stats().oversized()).isEqualTo(1);
            assertThat(mNode.stats().malformed()).isEqualTo(1);
        }

        private void awaitCount(LongSupplier counter) throws IOException {
            // The test's timeout ends the wait.
            while (counter.getAsLong() == 0) {
                Thread.onSpinWait();
            }
        }
    }

    @Nested
    class ControlPort {
        // Guards against a start-up error that does not name the port in use.
        @Test
        void inUseThrowsMeshStartExceptionThatNamesThePort() {
            Mesh m = start("node-a", SIGNER, new Events());
            int port = address(m).getPort();
            MeshSettings taken = MeshSettings.of(member("node-b", port), SIGNER);
            assertThatThrownBy(() -> Mesh.start(taken, new Events(), new Events()))
                    .isInstanceOf(MeshStartException.class)
                    .hasMessageContaining("127.0.0.1:" + port);
        }

        // Guards against a caller that waits forever on a closed mesh.
        @Test
        void closedMeshRefusesCalls() {
            Mesh m = start("node-a", SIGNER, new Events());
            m.close();
            assertThat(m.setState(Member.State.SERVING)).failsWithin(1, TimeUnit.SECONDS);
        }
    }
}
