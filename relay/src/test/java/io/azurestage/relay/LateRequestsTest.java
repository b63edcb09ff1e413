package io.azurestage.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.azurestage.core.route.Route;
import io.azurestage.core.route.TrafficConfig;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against requests that a stopping node takes so late that it ends before their answer. The
 * node stays because of a request that the server still runs.
 */
class LateRequestsTest extends RelayScenario {
    private static final int WAIT_SECONDS = 20;

    private final CountDownLatch mEndOfRunning = new CountDownLatch(1);
    private final CompletableFuture<Integer> mOpenAtEnd = new CompletableFuture<>();
    private InetSocketAddress mEntry;
    private CompletableFuture<RawReply> mRunning;

    /** Returns the routes of the scenario with a timeout that is longer than the stop. */
    private static TrafficConfig decodeWithLongTimeout(byte[] document) {
        TrafficConfig config = decode(document);
        List<Route> routes =
                config.routes().stream()
                        .map(
                                r ->
                                        new Route(
                                                r.name(),
                                                r.host(),
                                                r.prefix(),
                                                r.idempotent(),
                                                r.rank(),
                                                r.maxAttempts(),
                                                Duration.ofSeconds(WAIT_SECONDS),
                                                r.target(),
                                                r.open(),
                                                r.targets()))
                        .toList();
        return new TrafficConfig(config.version(), routes, config.limits(), config.partners());
    }

    private void startWithRunningRequest() throws Exception {
        mDecoder = LateRequestsTest::decodeWithLongTimeout;
        mEntry =
                startNodes(
                        (r, s) -> {
                            if (r.line().contains("/w/long")) {
                                await(mEndOfRunning);
                            }
                            s.getOutputStream().write(RawServer.ok(r, "whole"));
                        });
        mRunning = new CompletableFuture<>();
        Thread caller =
                new Thread(
                        () -> {
                            try {
                                mRunning.complete(
                                        sendRaw(mEntry, "long", "POST", "/w/long", "", ""));
                            } catch (IOException e) {
                                mRunning.completeExceptionally(e);
                            }
                        });
        caller.start();
        Loop.await("the long request", () -> mServer.requests().size() == 1);
    }

    private static void await(CountDownLatch latch) throws IOException {
        try {
            latch.await(WAIT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    private Socket connect() throws IOException {
        Socket s = new Socket(InetAddress.getLoopbackAddress(), mEntry.getPort());
        s.setSoTimeout((int) TimeUnit.SECONDS.toMillis(WAIT_SECONDS));
        return s;
    }

    private static byte[] head(String target, int length) {
        return RawServer.text(
                "POST "
                        + target
                        + " HTTP/1.1\r\nHost: h\r\nId: late\r\nLeft-Ms: 5000\r\nContent-Length: "
                        + length
                        + "\r\n\r\n");
    }

    private void stopAndAwaitClosedPort() throws Exception {
        Relay relay = mRelays.get(0);
        mLoop.run(() -> relay.stop(() -> mOpenAtEnd.complete(relay.openRequests())));
        Loop.await(
                "the port is closed",
                () -> {
                    try (Socket s = connect()) {
                        return false;
                    } catch (IOException e) {
                        return true;
                    }
                });
    }

    private void assertRunningRequestIsAnswered() throws Exception {
        mEndOfRunning.countDown();
        assertThat(mRunning.get(WAIT_SECONDS, TimeUnit.SECONDS).body()).isEqualTo("whole");
        assertThat(mOpenAtEnd.get(WAIT_SECONDS, TimeUnit.SECONDS)).isZero();
    }

    @Test
    void requestWhoseBodyEndsAfterThePortIsClosedIsRefused() throws Exception {
        startWithRunningRequest();
        try (Socket s = connect()) {
            s.getOutputStream().write(head("/w/late", 4));
            s.getOutputStream().write(RawServer.text("bo"));
            stopAndAwaitClosedPort();
            s.getOutputStream().write(RawServer.text("dy"));
            String answer = new String(s.getInputStream().readAllBytes());
            assertThat(answer).startsWith("HTTP/1.1 503 ").contains("\r\nRetry-After: ");
        }
        assertRunningRequestIsAnswered();
        assertThat(mServer.requests()).as("requests that reached the server").hasSize(1);
        assertThat(mEvents).anyMatch(e -> e.contains("node-stopping") && e.contains("late"));
    }

    @Test
    void requestOnAKeptConnectionIsNotReadAfterThePortIsClosed() throws Exception {
        startWithRunningRequest();
        try (Socket s = connect()) {
            stopAndAwaitClosedPort();
            assertThat(s.getInputStream().read()).isEqualTo(-1);
        }
        assertRunningRequestIsAnswered();
    }

    @Test
    void pipelinedRequestIsNotPassedOnAfterThePortIsClosed() throws Exception {
        startWithRunningRequest();
        try (Socket s = connect()) {
            s.getOutputStream().write(head("/w/long2", 0));
            Loop.await("the second long request", () -> mServer.requests().size() == 2);
            stopAndAwaitClosedPort();
            s.getOutputStream().write(head("/w/late", 0));
            mEndOfRunning.countDown();
            String answers = new String(s.getInputStream().readAllBytes());
            assertThat(answers).containsOnlyOnce("HTTP/1.1 200 OK").contains("close");
        }
        assertRunningRequestIsAnswered();
        assertThat(mServer.requests()).as("requests that reached the server").hasSize(2);
    }

    private RawReply sendWithTimeout(String id, int leftMillis) throws IOException {
        mLeftMillis = leftMillis;
        return sendRaw(mEntry, id, "POST", "/w/" + id, "", "");
    }

    // Guards against a request that is taken late in a long stop and cut off at its end.
    @Test
    void requestThatMayOutliveTheNodeIsRefused() throws Exception {
        mStopTime = Duration.ofSeconds(8);
        startWithRunningRequest();
        Relay relay = mRelays.get(0);
        long start = System.nanoTime();
        mLoop.run(() -> relay.stop(() -> mOpenAtEnd.complete(relay.openRequests())));
        assertThat(sendWithTimeout("early", 7_900).status()).isEqualTo(200);
        LockSupport.parkNanos(
                start
                        + StopTimes.of(mStopTime).anyDeadline().plusMillis(300).toNanos()
                        - System.nanoTime());
        RawReply late = sendWithTimeout("late", 5_000);
        assertThat(late.status()).isEqualTo(503);
        assertThat(late.head()).contains("Retry-After: ");
        assertThat(sendWithTimeout("short", 2_000).status()).isEqualTo(200);
        assertThat(mServer.requests()).noneMatch(r -> r.line().contains("late"));
        assertThat(mEvents).anyMatch(e -> e.contains("node-stopping") && e.contains("late"));
        assertRunningRequestIsAnswered();
    }

    @Nested
    class Times {
        @ParameterizedTest
        @CsvSource({
            "2s, 1s, 1s, 1.8s",
            "6s, 3s, 3s, 5.6s",
            "10s, 3s, 5s, 9.6s",
            "30s, 3s, 15s, 29.6s"
        })
        void stepsFollowFromTheStopTime(String stop, String any, String close, String exit) {
            assertThat(StopTimes.of(duration(stop)))
                    .isEqualTo(new StopTimes(duration(any), duration(close), duration(exit)));
        }

        private static Duration duration(String seconds) {
            return Duration.parse("PT" + seconds);
        }
    }
}
