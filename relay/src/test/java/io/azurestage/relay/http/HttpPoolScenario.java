package io.azurestage.relay.http;

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

/** A pool of connections to a server whose answers a test scripts. */
abstract class HttpPoolScenario {
    static final Duration LONG_TIMEOUT = Duration.ofSeconds(60);

    final Loop mLoop = new Loop();
    final AtomicReference<OutboundResult> mResult = new AtomicReference<>();
    RawServer mServer;
    HttpPool mPool;

    @AfterEach
    void close() throws Exception {
        mServer.close();
        mLoop.close();
    }

    void serve(RawServer.Script script) throws Exception {
        mServer = new RawServer(script);
        mPool =
                new HttpPool(
                        (EventLoop) mLoop.group().next(),
                        TimeSource.system(),
                        Address.parse(mServer.address()).orElseThrow(),
                        Duration.ofSeconds(1));
    }

    static OutboundRequest request(String target, Duration timeout) {
        return new OutboundRequest(
                "GET",
                target,
                "h",
                List.of(new Field("Id", "one")),
                new byte[0],
                timeout,
                false,
                (status, fields) ->
                        Fields.first(fields, "Id").equals(Optional.of("one"))
                                ? ResponseFilter.Owner.THIS_REQUEST
                                : ResponseFilter.Owner.OTHER_REQUEST);
    }

    OutboundResult send(Duration timeout) throws Exception {
        mResult.set(null);
        mLoop.run(() -> mPool.send(request("/", timeout), mResult::set));
        Loop.await("a result", () -> mResult.get() != null);
        return mResult.get();
    }
}
