package io.azurestage.relay.link;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.CodedOutputStream;
import io.azurestage.core.context.NodeIdentity;
import io.azurestage.core.time.PauseDetector;
import io.azurestage.core.time.TimeSource;
import io.azurestage.relay.Loop;
import io.azurestage.relay.TestCalls;
import io.azurestage.relay.call.CallResult;
import io.azurestage.relay.call.CallResult.Answered.Execution;
import io.azurestage.relay.call.LoadReport;
import io.azurestage.wire.generated.link.CallStart;
import io.azurestage.wire.generated.link.Hello;
import io.azurestage.wire.generated.link.LinkMessage;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against frames of another writer on a link that end a node or its other links: such a
 * frame closes its own connection.
 */
class OddFramesTest {
    private static final int START_GROUP_1 = 0x0b;
    private static final int NESTED_GROUPS = 100_000;

    private final Loop mLoop = new Loop();
    private final AtomicLong mCallIds = new AtomicLong();
    private final LinkServer mServer =
            new LinkServer(
                    TimeSource.system(),
                    new PauseDetector(TimeSource.system()),
                    self("owner"),
                    (spec, listener) -> {
                        listener.done(
                                new CallResult.Answered(
                                        200, List.of(), spec.body(), Execution.COMPLETED),
                                LoadReport.UNKNOWN);
                        return () -> {};
                    });

    @BeforeEach
    void open() {
        mServer.open(mLoop.group(), new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }

    @AfterEach
    void close() {
        mServer.close();
        mLoop.close();
    }

    private LinkSelf self(String nodeId) {
        return new LinkSelf(
                new NodeIdentity(nodeId, 1),
                mCallIds::incrementAndGet,
                () -> 0,
                Optional::empty,
                d -> {},
                QuotaPeer.NONE,
                (server, started) -> {});
    }

    private static byte[] frame(byte[] content) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        CodedOutputStream out = CodedOutputStream.newInstance(bytes);
        out.writeUInt32NoTag(content.length);
        out.flush();
        bytes.writeBytes(content);
        return bytes.toByteArray();
    }

    private static byte[] nestedGroups() throws IOException {
        byte[] content = new byte[NESTED_GROUPS];
        Arrays.fill(content, (byte) START_GROUP_1);
        return frame(content);
    }

    /** Writes bytes on a new connection and reads until the node closes it. */
    private void assertCloses(byte[] bytes) throws Exception {
        try (Socket s = new Socket(InetAddress.getLoopbackAddress(), mServer.port())) {
            s.setSoTimeout(20_000);
            s.getOutputStream().write(bytes);
            s.getInputStream().readAllBytes();
        }
        assertServes();
    }

    /** A call over a link of its own is answered. */
    private void assertServes() throws Exception {
        InetSocketAddress address =
                new InetSocketAddress(InetAddress.getLoopbackAddress(), mServer.port());
        LinkClient client =
                new LinkClient(
                        mLoop.loop(),
                        TimeSource.system(),
                        address,
                        self("entry"),
                        (a, up, reason) -> {});
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        CompletableFuture<CallResult> done = new CompletableFuture<>();
        mLoop.run(
                () ->
                        client.start(
                                TestCalls.first("s", new byte[0], deadline, false),
                                (result, load) -> done.complete(result)));
        assertThat(Loop.get(done)).isInstanceOf(CallResult.Answered.class);
        mLoop.run(client::close);
    }

    @Test
    void lengthThatIsTooLargeClosesItsConnection() throws Exception {
        byte[] endless = new byte[10];
        Arrays.fill(endless, (byte) 0xff);
        assertCloses(endless);
        assertCloses(new byte[] {-1, -1, -1, -1, 15});
    }

    @Test
    void deeplyNestedMessageClosesItsConnection() throws Exception {
        assertCloses(nestedGroups());
    }

    @Test
    void bytesThatAreNoMessageCloseTheirConnection() throws Exception {
        assertCloses(frame(new byte[] {8, 8, 8, 7}));
    }

    @Test
    void callBeforeTheIdentityOfThePeerClosesItsConnection() throws Exception {
        LinkMessage start =
                LinkMessage.newBuilder().setStart(CallStart.getDefaultInstance()).build();
        assertCloses(frame(start.toByteArray()));
    }

    @Test
    void callWithOddNumbersLeavesOtherLinksAlone() throws Exception {
        Hello hello = Hello.newBuilder().setNodeId("odd").setIncarnation(Long.MIN_VALUE).build();
        CallStart start =
                CallStart.newBuilder()
                        .setCallId(Long.MIN_VALUE)
                        .setLeftMillis(Integer.MIN_VALUE)
                        .setWorkClass(Integer.MAX_VALUE)
                        .setOrder(Double.NaN)
                        .setFraction(Double.NEGATIVE_INFINITY)
                        .build();
        try (Socket s = new Socket(InetAddress.getLoopbackAddress(), mServer.port())) {
            s.getOutputStream()
                    .write(frame(LinkMessage.newBuilder().setHello(hello).build().toByteArray()));
            s.getOutputStream()
                    .write(frame(LinkMessage.newBuilder().setStart(start).build().toByteArray()));
            assertServes();
        }
        assertServes();
    }
}
