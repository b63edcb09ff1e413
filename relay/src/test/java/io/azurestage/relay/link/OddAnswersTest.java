package io.azurestage.relay.link;

import static org.assertj.core.api.Assertions.assertThat;

import io.azurestage.core.context.NodeIdentity;
import io.azurestage.core.time.PauseDetector;
import io.azurestage.core.time.TimeSource;
import io.azurestage.relay.Loop;
import io.azurestage.relay.TestCalls;
import io.azurestage.relay.call.CallResult;
import io.azurestage.relay.call.CallResult.Answered.Execution;
import io.azurestage.relay.call.LoadReport;
import io.azurestage.relay.http.Body;
import io.azurestage.relay.http.Field;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against answers of another node, such as one of an earlier build, that cannot be written
 * as HTTP: the call counts as lost.
 */
class OddAnswersTest {
    private final Loop mLoop = new Loop();
    private final AtomicLong mCallIds = new AtomicLong();

    @AfterEach
    void close() {
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

    /** Returns the result of a call that the other node answers in this way. */
    private CallResult resultOf(int status, Field field) throws Exception {
        TimeSource time = TimeSource.system();
        CallResult answer =
                new CallResult.Answered(
                        status, List.of(field), Body.of(new byte[1]), Execution.COMPLETED);
        LinkServer server =
                new LinkServer(
                        time,
                        new PauseDetector(time),
                        self("owner"),
                        (spec, listener) -> {
                            listener.done(answer, LoadReport.UNKNOWN);
                            return () -> {};
                        });
        InetAddress loopback = InetAddress.getLoopbackAddress();
        server.open(mLoop.group(), new InetSocketAddress(loopback, 0));
        LinkClient client =
                new LinkClient(
                        mLoop.loop(),
                        time,
                        new InetSocketAddress(loopback, server.port()),
                        self("entry"),
                        (a, up, reason) -> {});
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        CompletableFuture<CallResult> done = new CompletableFuture<>();
        mLoop.run(
                () ->
                        client.start(
                                TestCalls.first("s", new byte[0], deadline, false),
                                (result, load) -> done.complete(result)));
        CallResult result = Loop.get(done);
        mLoop.run(client::close);
        server.close();
        return result;
    }

    @ParameterizedTest
    @ValueSource(ints = {-1, 0, 99, 100, 199, 600, 1_000})
    void statusThatIsNoneOfAFinalAnswerIsALoss(int status) throws Exception {
        assertThat(resultOf(status, new Field("A", "b"))).isInstanceOf(CallResult.MaybeRun.class);
    }

    @ParameterizedTest
    @CsvSource({"A b,c", "'',c", "'A\u0001',c", "'A:',c", "A,'b\r\nC: d'", "A,'b\u0001'"})
    void fieldOutsideTheGrammarIsALoss(String name, String value) throws Exception {
        assertThat(resultOf(200, new Field(name, value))).isInstanceOf(CallResult.MaybeRun.class);
    }

    @Test
    void otherAnswersArrive() throws Exception {
        Field field = new Field("A", "b \u00fc\tc");
        for (int status : new int[] {200, 204, 404, 599}) {
            assertThat(resultOf(status, field))
                    .isInstanceOfSatisfying(
                            CallResult.Answered.class,
                            a -> {
                                assertThat(a.status()).isEqualTo(status);
                                assertThat(a.fields()).containsExactly(field);
                            });
        }
    }
}
