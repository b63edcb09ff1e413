package io.azurestage.bench.standin;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class StandInBackendTest {
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(30);
    private static final RequestKey KEY = new RequestKey("r", 0, "p", "NORMAL");
    private static final byte[] PAYLOAD = {1, 2, 3};

    private final StandInRuntime mRuntime = new StandInRuntime(50);
    private final WorkLedger mLedger = new WorkLedger();
    private final List<StandInBackend> mBackends = new ArrayList<>();

    @AfterEach
    void stop() {
        mBackends.forEach(StandInBackend::close);
        mRuntime.close();
    }

    private StandInBackend start(
            String service, int slots, int queue, boolean parallel, String... next) {
        ServiceTime time = ServiceTime.fixed(Duration.ofMillis(1));
        BackendSpec spec =
                new BackendSpec(service, slots, queue, time, List.of(next), parallel, 300_000, 5);
        StandInBackend backend = StandInBackend.start(spec, mRuntime, mLedger);
        mBackends.add(backend);
        return backend;
    }

    private Reply post(StandInBackend backend) {
        return send(backend.address(), "POST", "/x", Map.of(), PAYLOAD).join();
    }

    private CompletableFuture<Reply> send(
            URI to, String method, String path, Map<String, String> extra, byte[] body) {
        Map<String, String> headers = new HashMap<>(extra);
        headers.put(RequestKey.KEY_HEADER, KEY.text());
        headers.put(RequestKey.PARTNER_HEADER, KEY.partner());
        headers.put(RequestKey.CLASS_HEADER, KEY.workClass());
        return mRuntime.send(to, method, path, headers, body, REQUEST_TIMEOUT);
    }

    @Nested
    class Chain {
        /** Guards against a service that drops the key, the payload or a branch of the chain. */
        @Test
        void everyServiceEchoesKeyAndPayload() {
            for (boolean parallel : new boolean[] {false, true}) {
                StandInBackend first = start("a", 4, 4, parallel, "b", "c");
                Map<String, List<URI>> servers =
                        Map.of(
                                "b", List.of(start("b", 4, 4, false).address()),
                                "c", List.of(start("c", 4, 4, false).address()));
                first.downstream(DirectDownstream.builder(mRuntime, servers).build());
                Reply reply = post(first);
                assertThat(Echo.check(reply.body(), List.of("a", "b", "c"), KEY, PAYLOAD))
                        .isEqualTo(Echo.Check.WHOLE);
            }
            assertThat(mLedger.workNanos("p", "NORMAL")).isEqualTo(6_000_000);
        }

        /** Guards against a node's refusal that loses its status or content type on the way up. */
        @Test
        void nodeRefusalIsForwardedUnchanged() {
            byte[] problem = {'{', '}'};
            StandInBackend first = start("a", 1, 0, false, "b");
            first.downstream(
                    call ->
                            CompletableFuture.completedFuture(
                                    new Reply(429, "application/problem+json", problem, "")));
            Reply reply = post(first);
            assertThat(reply.status()).isEqualTo(429);
            assertThat(reply.contentType()).isEqualTo("application/problem+json");
            assertThat(first.inProgress()).isZero();
        }

        /** Guards against a baseline without retries, or with more retries than configured. */
        @Test
        void directCallIsRetriedUpToTheLimit() {
            StandInBackend last = start("b", 1, 0, false);
            last.faults().refuseRequests(true);
            StandInBackend first = start("a", 1, 0, false, "b");
            first.downstream(
                    DirectDownstream.builder(mRuntime, Map.of("b", List.of(last.address())))
                            .retries(3, 1)
                            .build());
            assertThat(post(first).status()).isEqualTo(502);
            assertThat(mLedger.summary(Set.of()).maxRetries()).isEqualTo(3);
            assertThat(last.executions()).isZero();
        }
    }

    @Nested
    class Fault {
        /** Guards against reporting a truncated or dropped response as complete. */
        @Test
        void brokenResponsesFailAfterTheExecution() {
            StandInBackend backend = start("a", 1, 0, false);
            backend.faults().truncate(1);
            assertThat(post(backend).status()).isZero();
            backend.faults().truncate(0).dropResponses(1);
            assertThat(post(backend).status()).isZero();
            backend.faults().dropResponses(0);
            assertThat(post(backend).status()).isEqualTo(200);
            assertThat(backend.executions()).isEqualTo(3);
        }

        /** Guards against an inverted health endpoint that is wrong in only one direction. */
        @Test
        void healthCanBeInverted() {
            StandInBackend backend = start("a", 1, 0, false);
            for (boolean refuse : new boolean[] {false, true}) {
                backend.faults().refuseRequests(refuse).invertHealth(false);
                assertThat(health(backend)).isEqualTo(refuse ? 503 : 200);
                backend.faults().invertHealth(true);
                assertThat(health(backend)).isEqualTo(refuse ? 200 : 503);
            }
        }

        private int health(StandInBackend backend) {
            return send(backend.address(), "GET", "/health", Map.of(), new byte[0]).join().status();
        }
    }

    /** Guards against accepting requests when the queue is full. */
    @Test
    void fullQueueRefusesWithoutRunning() {
        StandInBackend backend = start("a", 1, 1, false, "b");
        CompletableFuture<Reply> downstreamReply = new CompletableFuture<>();
        CompletableFuture<Void> downstreamCalled = new CompletableFuture<>();
        backend.downstream(
                call -> {
                    downstreamCalled.complete(null);
                    return downstreamReply;
                });
        CompletableFuture<Reply> first = send(backend.address(), "POST", "/x", Map.of(), PAYLOAD);
        downstreamCalled.join();
        // Of two further requests, one is queued and one refused, whichever arrives first.
        CompletableFuture<Reply> second = send(backend.address(), "POST", "/x", Map.of(), PAYLOAD);
        CompletableFuture<Reply> third = send(backend.address(), "POST", "/x", Map.of(), PAYLOAD);
        Reply refused = (Reply) CompletableFuture.anyOf(second, third).join();
        assertThat(refused.status()).isEqualTo(503);
        downstreamReply.complete(new Reply(200, "text/plain", new byte[0], ""));
        assertThat(first.join().status()).isEqualTo(200);
        assertThat(second.join().status() + third.join().status()).isEqualTo(703);
        assertThat(backend.executions()).isEqualTo(2);
    }

    @Nested
    class Pattern {
        /** Guards against a resumed transfer whose ranges do not join to the original contents. */
        @Test
        void rangesJoinToTheWholeFile() {
            URI to = start("a", 2, 2, false).address();
            Reply whole = get(to, Map.of());
            assertThat(whole.body()).hasSize(300_000);
            byte[] tail = get(to, Map.of("Range", "bytes=100001-")).body();
            assertThat(tail).isEqualTo(Arrays.copyOfRange(whole.body(), 100_001, 300_000));
            assertThat(get(to, Map.of("Range", "bytes=9-", "If-Range", "\"x\"")).status())
                    .isEqualTo(200);
            assertThat(get(to, Map.of("Range", "bytes=300000-")).status()).isEqualTo(416);
        }

        /** Guards against reporting a transfer that stops midway as complete. */
        @Test
        void truncatedFileFails() {
            StandInBackend backend = start("a", 2, 2, false);
            backend.faults().truncate(1);
            assertThat(get(backend.address(), Map.of()).status()).isZero();
        }

        private Reply get(URI to, Map<String, String> headers) {
            return send(to, "GET", "/patterns/7", headers, new byte[0]).join();
        }
    }
}
