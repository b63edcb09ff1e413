package io.azurestage.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Test;

/** A node is stopped while a client reads a long answer. */
class SlowReadersAtStopTest extends RelayScenario {
    private static final int WAIT_SECONDS = 20;
    private static final int BODY_BYTES = 16 << 20;

    private final CompletableFuture<Void> mStopped = new CompletableFuture<>();

    private Socket startReading() throws Exception {
        mStopTime = Duration.ofSeconds(8);
        String body = "x".repeat(BODY_BYTES);
        InetSocketAddress entry =
                startNodes((r, s) -> s.getOutputStream().write(RawServer.ok(r, body)));
        Socket client = new Socket();
        client.setReceiveBufferSize(64 << 10);
        client.connect(entry);
        client.getOutputStream()
                .write(
                        RawServer.text(
                                "GET /r/ HTTP/1.1\r\nHost: h\r\nId: slow\r\n"
                                        + "Left-Ms: 5000\r\n\r\n"));
        assertThat(client.getInputStream().read()).isEqualTo('H');
        Loop.await("the request is answered", () -> mRelays.get(0).openRequests() == 0);
        return client;
    }

    private void stop(int relay) throws Exception {
        mLoop.run(() -> mRelays.get(relay).stop(() -> mStopped.complete(null)));
    }

    private static long readAll(Socket client) throws Exception {
        client.setSoTimeout((int) TimeUnit.SECONDS.toMillis(WAIT_SECONDS));
        InputStream in = client.getInputStream();
        byte[] buffer = new byte[1 << 20];
        long length = 0;
        for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
            length += n;
        }
        return length;
    }

    // Guards against an answer that is cut off since it counted as delivered before it was written.
    @Test
    void answerIsWrittenBeforeTheNodeEnds() throws Exception {
        try (Socket client = startReading()) {
            stop(0);
            LockSupport.parkNanos(StopTimes.of(mStopTime).close().plusMillis(500).toNanos());
            assertThat(mStopped).isNotDone();
            assertThat(readAll(client)).isGreaterThan(BODY_BYTES);
        }
        mStopped.get(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    @Test
    void readerThatTakesNothingIsCutOffAtTheEnd() throws Exception {
        try (Socket client = startReading()) {
            long start = System.nanoTime();
            stop(0);
            mStopped.get(WAIT_SECONDS, TimeUnit.SECONDS);
            Duration took = Duration.ofNanos(System.nanoTime() - start);
            assertThat(took).isBetween(StopTimes.of(mStopTime).exit(), mStopTime);
        }
    }
}
