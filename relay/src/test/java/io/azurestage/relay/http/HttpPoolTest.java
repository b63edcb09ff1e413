package io.azurestage.relay.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.azurestage.core.time.TimeSource;
import io.azurestage.mesh.Address;
import io.azurestage.relay.Loop;
import io.azurestage.relay.RawServer;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class HttpPoolTest {
    private final Loop mLoop = new Loop();
    private final AtomicReference<OutboundResult> mResult = new AtomicReference<>();
    private RawServer mServer;
    private HttpPool mPool;

    @AfterEach
    void close() throws Exception {
        mServer.close();
        mLoop.close();
    }

    private void serve(RawServer.Script script) throws Exception {
        mServer = new RawServer(script);
        mPool =
                new HttpPool(
                        (EventLoop) mLoop.group().next(),
                        TimeSource.system(),
                        Address.parse(mServer.address()).orElseThrow(),
                        Duration.ofSeconds(1));
    }

    private OutboundResult send(Duration timeout) throws Exception {
        OutboundRequest r =
                new OutboundRequest(
                        "GET",
                        "/",
                        "h",
                        List.of(new Field("Id", "one")),
                        new byte[0],
                        timeout,
                        false,
                        fields -> Fields.first(fields, "Id").equals(Optional.of("one")));
        mResult.set(null);
        mLoop.run(() -> mPool.send(r, mResult::set));
        Loop.await("a result", () -> mResult.get() != null);
        return mResult.get();
    }

    @Nested
    class Idle {
        @Test
        void connectionIsUsedAgainAndClosedBeforeTheServersLimit() throws Exception {
            serve(
                    (r, s) ->
                            s.getOutputStream()
                                    .write(
                                            RawServer.text(
                                                    "HTTP/1.1 200 OK\r\nId: one\r\n"
                                                            + "Keep-Alive: timeout=1\r\n"
                                                            + "Content-Length: 0\r\n\r\n")));
            for (int i = 0; i < 3; i++) {
                assertThat(send(Duration.ofSeconds(5))).isInstanceOf(OutboundResult.Answered.class);
            }
            assertThat(mServer.requests()).hasSize(3);
            Loop.await("the close of the only connection", () -> mServer.closed() == 1);
        }
    }
}
