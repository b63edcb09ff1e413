package io.azurestage.relay.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.azurestage.relay.Loop;
import io.azurestage.relay.RawServer;
import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;

/** Connections that fall silent without being closed, while new ones work. */
class SilentConnectionsTest extends HttpPoolScenario {
    private static final int CONNECTIONS = 3;
    private static final Duration SHORT = Duration.ofMillis(200);

    private final Set<Socket> mSilent = ConcurrentHashMap.newKeySet();
    private final List<Socket> mUsed = new CopyOnWriteArrayList<>();
    private final CountDownLatch mAllOpen = new CountDownLatch(CONNECTIONS);

    /** Opens connections that are idle afterwards. */
    private void openConnections() throws Exception {
        serve(
                (r, s) -> {
                    if (mSilent.contains(s)) {
                        return;
                    }
                    mUsed.add(s);
                    mAllOpen.countDown();
                    awaitAll();
                    s.getOutputStream()
                            .write(
                                    RawServer.text(
                                            "HTTP/1.1 200 OK\r\nId: one\r\n"
                                                    + "Content-Length: 0\r\n\r\n"));
                });
        AtomicInteger answered = new AtomicInteger();
        for (int i = 0; i < CONNECTIONS; i++) {
            mLoop.run(
                    () -> mPool.send(request("/", LONG_TIMEOUT), r -> answered.incrementAndGet()));
        }
        Loop.await("all answers", () -> answered.get() == CONNECTIONS);
    }

    private void awaitAll() throws IOException {
        try {
            mAllOpen.await(20, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    // Guards against one timeout for each connection that fell silent while it was idle.
    @Test
    void oneTimeoutIsEnoughToLeaveThem() throws Exception {
        openConnections();
        mSilent.addAll(mUsed);
        assertThat(send(SHORT)).isInstanceOf(OutboundResult.Lost.class);
        assertThat(send(LONG_TIMEOUT)).isInstanceOf(OutboundResult.Answered.class);
        assertThat(mUsed).hasSize(CONNECTIONS + 1);
    }

    @Test
    void connectionThatAnsweredMeanwhileIsKept() throws Exception {
        openConnections();
        mLoop.run(() -> mPool.send(request("/", SHORT), mResult::set));
        assertThat(mUsed).hasSizeGreaterThanOrEqualTo(CONNECTIONS);
        Loop.await("an answer", () -> mResult.get() != null);
        Socket newest = mUsed.get(mUsed.size() - 1);
        mUsed.stream().filter(s -> s != newest).forEach(mSilent::add);
        AtomicReference<OutboundResult> lost = new AtomicReference<>();
        mLoop.run(
                () -> {
                    mPool.send(request("/", LONG_TIMEOUT), mResult::set);
                    mPool.send(request("/", SHORT), lost::set);
                });
        Loop.await("a timeout", () -> lost.get() instanceof OutboundResult.Lost);
        int connections = mUsed.size();
        assertThat(send(LONG_TIMEOUT)).isInstanceOf(OutboundResult.Answered.class);
        assertThat(mUsed.get(connections)).isSameAs(newest);
    }
}
