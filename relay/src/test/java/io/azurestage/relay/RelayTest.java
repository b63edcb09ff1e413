package io.azurestage.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.azurestage.core.backend.Heartbeat;
import io.prometheus.metrics.model.snapshots.MetricSnapshots;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RelayTest extends RelayScenario {
    private static final int CALLERS = 8;

    private static final byte[] UNSIGNED =
            RawServer.text("HTTP/1.1 200 OK\r\nId: request-1\r\nContent-Length: 0\r\n\r\n");
    private static final byte[] NOT_RUN =
            RawServer.text("HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
    private static final byte[] OF_ANOTHER_REQUEST =
            RawServer.text(
                    "HTTP/1.1 200 OK\r\nId: other\r\nSigned: s\r\n"
                            + "Content-Length: 5\r\n\r\nwrong");

    private static final byte[] WITHOUT_REQUEST_ID =
            RawServer.text("HTTP/1.1 200 OK\r\nSigned: s\r\nContent-Length: 5\r\n\r\nwrong");

    @Nested
    class Forwarding {
        @Test
        void skipsSuccessWithoutRequestId() throws Exception {
            InetSocketAddress entry =
                    startNodes(
                            (r, s) -> {
                                s.getOutputStream().write(WITHOUT_REQUEST_ID);
                                s.getOutputStream().write(RawServer.ok(r, "whole"));
                            });
            assertThat(sendRaw(entry, "GET", "/r/a", "").body()).isEqualTo("whole");
        }

        @Test
        void forwardsRequestAndAnswerUnchanged() throws Exception {
            InetSocketAddress entry =
                    startNodes((r, s) -> s.getOutputStream().write(RawServer.ok(r, "whole")));
            RawReply reply = sendRaw(entry, "POST", "/w/a%20b?q=1", "body");
            assertThat(reply.status()).isEqualTo(200);
            assertThat(reply.body()).isEqualTo("whole");
            assertThat(reply.head()).contains("Signed: s");
            RawServer.Request r = mServer.requests().get(0);
            assertThat(r.line()).isEqualTo("POST /w/a%20b?q=1 HTTP/1.1");
            assertThat(r.body()).isEqualTo("body");
            assertThat(r.field("Host")).isEqualTo("h");
            assertThat(r.field("Id")).isEqualTo("request-1");
            assertThat(r.field("Caller")).isEqualTo("desk");
            assertThat(r.field("Server")).isEqualTo("server-1");
            assertThat(Integer.parseInt(r.field("Left-Ms"))).isBetween(1, 600);
        }

        @Test
        void unknownRouteGives404() throws Exception {
            InetSocketAddress entry =
                    startNodes((r, s) -> s.getOutputStream().write(RawServer.ok(r, "")));
            assertThat(sendRaw(entry, "GET", "/x/", "").status()).isEqualTo(404);
            assertThat(send(request(entry, "/r/")).statusCode()).isEqualTo(404);
        }

        @Test
        void refusesRequestsWithoutConfiguration() throws Exception {
            InetSocketAddress entry = startNode("caller", "desk");
            RawReply reply = sendRaw(entry, "GET", "/r/", "");
            assertThat(reply.status()).isEqualTo(503);
            assertThat(reply.head()).contains("Retry-After: ");
            assertThat(mRelays.get(0).isReady()).isFalse();
        }

        @Test
        void acceptsAnswerDelimitedByConnectionClose() throws Exception {
            InetSocketAddress entry =
                    startNodes(
                            (r, s) -> {
                                s.getOutputStream()
                                        .write(
                                                RawServer.text(
                                                        "HTTP/1.1 200 OK\r\nId: request-1\r\n"
                                                                + "Signed: s\r\n\r\nwhole"));
                                s.close();
                            });
            RawReply reply = sendRaw(entry, "GET", "/r/", "");
            assertThat(reply.status()).isEqualTo(200);
            assertThat(reply.body()).isEqualTo("whole");
        }
    }

    @Nested
    class Failures {
        @Test
        void nonIdempotentRequestIsNotRetriedAfterLostAnswer() throws Exception {
            InetSocketAddress entry = startNodes((r, s) -> s.close());
            assertThat(sendRaw(entry, "POST", "/w/", "").status()).isEqualTo(502);
            assertThat(mServer.requests()).hasSize(1);
        }

        @Test
        void truncatedAnswerGives502() throws Exception {
            InetSocketAddress entry =
                    startNodes(
                            (r, s) -> {
                                byte[] whole = RawServer.ok(r, "whole");
                                s.getOutputStream().write(whole, 0, whole.length - 2);
                                s.close();
                            });
            assertThat(sendRaw(entry, "POST", "/w/", "").status()).isEqualTo(502);
        }

        @Test
        void unsignedSuccessGives502() throws Exception {
            InetSocketAddress entry = startNodes((r, s) -> s.getOutputStream().write(UNSIGNED));
            assertThat(sendRaw(entry, "POST", "/w/", "").status()).isEqualTo(502);
        }

        @Test
        void serverRefusalGives503WithRetryAfter() throws Exception {
            InetSocketAddress entry = startNodes((r, s) -> s.getOutputStream().write(NOT_RUN));
            RawReply reply = sendRaw(entry, "POST", "/w/", "");
            assertThat(reply.status()).isEqualTo(503);
            assertThat(reply.head()).contains("Retry-After: ");
        }

        @Test
        void skipsAnswerToAnotherRequest() throws Exception {
            InetSocketAddress entry =
                    startNodes(
                            (r, s) -> {
                                s.getOutputStream().write(OF_ANOTHER_REQUEST);
                                s.getOutputStream().write(RawServer.ok(r, "right"));
                            });
            RawReply reply = sendRaw(entry, "POST", "/w/", "");
            assertThat(reply.body()).isEqualTo("right");
        }

        @Test
        void countsAnswersByClassAndOutcome() throws Exception {
            InetSocketAddress entry =
                    startNodes((r, s) -> s.getOutputStream().write(RawServer.ok(r, "whole")));
            sendRaw(entry, "POST", "/w/a", "body");
            sendRaw(entry, "GET", "/unknown/a", "");
            MetricSnapshots all = mMetrics.get(0).registry().scrape();
            assertThat(all.stream().flatMap(m -> m.getDataPoints().stream()))
                    .anySatisfy(
                            d -> {
                                assertThat(d.getLabels().get("work_class")).isEqualTo("critical");
                                assertThat(d.getLabels().get("outcome")).isEqualTo("success");
                            });
        }

        @Test
        void silentServerTimesOutAtRouteTimeout() throws Exception {
            InetSocketAddress entry = startNodes((r, s) -> {});
            long start = System.nanoTime();
            assertThat(sendRaw(entry, "POST", "/w/", "").status()).isIn(502, 504);
            Duration took = Duration.ofNanos(System.nanoTime() - start);
            assertThat(took)
                    .isBetween(ROUTE_TIMEOUT.minusMillis(50), ROUTE_TIMEOUT.plusMillis(500));
        }

        @Test
        void callerDisconnectCancelsIdempotentRequestAtServer() throws Exception {
            InetSocketAddress entry = startNodes((r, s) -> {});
            try (Socket s = new Socket("127.0.0.1", entry.getPort())) {
                s.getOutputStream()
                        .write(
                                RawServer.text(
                                        "GET /r/ HTTP/1.1\r\nHost: h\r\nId: request-1\r\n\r\n"));
                Loop.await("the request arrives", () -> mServer.requests().size() == 1);
            }
            Loop.await("its connection is closed", () -> mServer.closed() == 1);
        }
    }

    /** Servers that count as healthy but answer some of their requests with an error. */
    @Nested
    class ServerErrors {
        private final byte[] mFailure =
                RawServer.text(
                        "HTTP/1.1 500 Failed\r\nId: request-1\r\nSigned: s\r\n"
                                + "Content-Length: 6\r\n\r\nfailed");

        private void addServer(RawServer.Script script) throws Exception {
            startNode("owner-2", "books");
            RawServer second = new RawServer(script);
            mCloseables.add(second);
            Loop.await(
                    "the store holds the entry of the second server",
                    () -> {
                        try {
                            heartbeat(2, "books", second, false);
                        } catch (Exception e) {
                            throw new AssertionError(e);
                        }
                        return mStore.keys("azurestage/nodes/").size() == 2;
                    });
        }

        @Test
        void idempotentRequestIsRetriedOnAnotherServer() throws Exception {
            InetSocketAddress entry = startNodes((r, s) -> s.getOutputStream().write(mFailure));
            addServer((r, s) -> s.getOutputStream().write(RawServer.ok(r, "whole")));
            // The retry budget is empty at first and fills over time.
            Loop.await(
                    "a failed request is retried",
                    () -> {
                        int before = mServer.requests().size();
                        try {
                            int status = sendRaw(entry, "GET", "/r/", "").status();
                            return status == 200 && mServer.requests().size() > before;
                        } catch (IOException e) {
                            throw new AssertionError(e);
                        }
                    });
        }

        /**
         * The budgets of the healthy servers' nodes would not cover the retries of all failing
         * servers, so a retry is charged to the node of the failed attempt.
         */
        @Test
        void retriesAreChargedToNodeOfFirstAttempt() throws Exception {
            AtomicBoolean failing = new AtomicBoolean();
            InetSocketAddress entry =
                    startNodes(
                            (r, s) ->
                                    s.getOutputStream()
                                            .write(failing.get() ? mFailure : RawServer.ok(r, "")));
            for (int i = 0; i < 150; i++) {
                sendRaw(entry, "GET", "/r/", "");
            }
            addServer((r, s) -> s.getOutputStream().write(RawServer.ok(r, "whole")));
            failing.set(true);
            int before = mServer.requests().size();
            while (mServer.requests().size() < before + 3) {
                assertThat(sendRaw(entry, "GET", "/r/", "").status()).isEqualTo(200);
            }
        }

        @Test
        void nonIdempotentRequestReturnsServerError() throws Exception {
            InetSocketAddress entry = startNodes((r, s) -> s.getOutputStream().write(mFailure));
            addServer((r, s) -> s.getOutputStream().write(mFailure));
            RawReply reply = sendRaw(entry, "POST", "/w/", "body");
            assertThat(reply.status()).isEqualTo(500);
            assertThat(reply.head()).contains("Signed: s");
        }

        @Test
        void failureOfAllServersReturnsServerError() throws Exception {
            InetSocketAddress entry = startNodes((r, s) -> s.getOutputStream().write(mFailure));
            addServer((r, s) -> s.getOutputStream().write(mFailure));
            RawReply reply = sendRaw(entry, "GET", "/r/", "");
            assertThat(reply.status()).isEqualTo(500);
            assertThat(reply.head()).contains("Signed: s");
            assertThat(reply.body()).isEqualTo("failed");
        }
    }

    @Nested
    class LifecycleChanges {
        /**
         * When most nodes of a data centre are not ready, clients keep sending to all of them. A
         * stopping node must still answer every request that it has read.
         */
        @Test
        void stoppingNodeAnswersAllRequestsWhileCallersStay() throws Exception {
            InetSocketAddress entry =
                    startNodes(
                            (r, s) -> {
                                LockSupport.parkNanos(Duration.ofMillis(400).toNanos());
                                s.getOutputStream().write(RawServer.ok(r, ""));
                            });
            AtomicInteger openAtStop = new AtomicInteger(-1);
            Runnable caller =
                    () -> {
                        while (openAtStop.get() < 0) {
                            try {
                                sendRaw(entry, "GET", "/r/", "");
                            } catch (IOException | RuntimeException e) {
                                // Refused, or closed before it was read: the caller may send it
                                // again.
                                LockSupport.parkNanos(Duration.ofMillis(1).toNanos());
                            }
                        }
                    };
            List<Thread> callers = new ArrayList<>();
            for (int i = 0; i < CALLERS; i++) {
                callers.add(new Thread(caller));
            }
            callers.forEach(Thread::start);
            Relay stopping = mRelays.get(0);
            mLoop.run(
                    () ->
                            stopping.stop(
                                    () -> openAtStop.compareAndSet(-1, stopping.openRequests())));
            Loop.await("the node has stopped", () -> openAtStop.get() >= 0);
            for (Thread t : callers) {
                t.join();
            }
            assertThat(openAtStop.get()).isZero();
        }

        @Test
        void drainingServerGetsNoWorkAfterTheDrainTime() throws Exception {
            InetSocketAddress entry =
                    startNodes((r, s) -> s.getOutputStream().write(RawServer.ok(r, "")));
            assertThat(sendRaw(entry, "GET", "/r/", "").status()).isEqualTo(200);
            heartbeat(1, "books", mServer, true);
            Loop.await(
                    "the server receives no more requests",
                    () -> {
                        try {
                            return sendRaw(entry, "GET", "/r/", "").status() == 503;
                        } catch (IOException e) {
                            throw new AssertionError(e);
                        }
                    });
            int before = mServer.requests().size();
            assertThat(sendRaw(entry, "GET", "/r/", "").status()).isEqualTo(503);
            assertThat(mServer.requests()).hasSize(before);
        }

        @Test
        void restartedNodeKnowsThatServerHasLeft() throws Exception {
            startNodes((r, s) -> s.getOutputStream().write(RawServer.ok(r, "")));
            mLoop.run(() -> mRelays.get(1).onDeregistered("server-1", 0, () -> {}));
            Loop.await("the store holds the record", () -> mStore.has("azurestage/left/server-1"));
            InetSocketAddress restartedEntry = startNode("owner", "books");
            Heartbeat lateHeartbeat =
                    new Heartbeat(
                            "server-1",
                            2,
                            "books",
                            mServer.address(),
                            10,
                            false,
                            Duration.ZERO,
                            99);
            Loop.await("the node is ready", () -> mRelays.get(2).isReady());
            mLoop.run(() -> mRelays.get(2).onHeartbeat(lateHeartbeat, () -> {}));
            assertThat(sendRaw(restartedEntry, "GET", "/r/", "").status()).isEqualTo(503);
            assertThat(mServer.requests()).isEmpty();
        }

        @Test
        void expiredEntryIsRestoredAfterStoreOutage() throws Exception {
            InetSocketAddress entry =
                    startNodes((r, s) -> s.getOutputStream().write(RawServer.ok(r, "")));
            mStore.setDown(true);
            assertThat(sendRaw(entry, "GET", "/r/", "").status()).isEqualTo(200);
            mStore.expireLeases();
            mStore.setDown(false);
            Loop.await(
                    "the store holds the entry again",
                    () -> !mStore.keys("azurestage/nodes/").isEmpty());
            assertThat(sendRaw(entry, "GET", "/r/", "").status()).isEqualTo(200);
        }

        @Test
        void configurationVersionNeverDecreases() throws Exception {
            InetSocketAddress entry =
                    startNodes((r, s) -> s.getOutputStream().write(RawServer.ok(r, "")));
            mStore.put("op/config", new byte[] {9});
            mStore.put("op/config", new byte[] {3});
            assertThat(sendRaw(entry, "GET", "/r/", "").status()).isEqualTo(200);
            assertThat(mRelays.get(0).configVersion()).isEqualTo(9);
        }
    }
}
