package io.azurestage.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.azurestage.core.backend.Heartbeat;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against answers of a faulty server that reach its caller although they are not HTTP: the
 * request counts as lost.
 */
class BrokenAnswersTest extends RelayScenario {
    private static final String LOST = "the answer was lost\n";
    private static final String HEAD_AND_HALF =
            "HTTP/1.1 200 OK\r\nId: request-1\r\nSigned: s\r\n\r\nhalf of it";

    /** Sends a request that runs once at most; the server answers it with the given bytes. */
    private RawReply replyTo(String first, String rest) throws Exception {
        InetSocketAddress entry =
                startNodes(
                        (r, s) -> {
                            String id = "\r\nId: " + r.field("Id") + "\r\nSigned: s\r\n";
                            s.getOutputStream().write(RawServer.text(first + id + rest));
                            s.close();
                        });
        return sendRaw(entry, "POST", "/w/", "once");
    }

    private void assertLost(RawReply reply) {
        assertThat(reply.status()).isEqualTo(502);
        assertThat(reply.body()).isEqualTo(LOST);
        assertThat(mServer.requests()).hasSize(1);
    }

    @Nested
    class StatusLine {
        @ParameterizedTest
        @ValueSource(strings = {"HTTP/1.1 000 OK", "HTTP/1.1 600 OK", "HTTP/2.0 200 OK"})
        void isNotPassedOn(String line) throws Exception {
            assertLost(replyTo(line, "Content-Length: 4\r\n\r\nbody"));
        }
    }

    @Nested
    class FieldName {
        @ParameterizedTest
        @ValueSource(strings = {"A b: c", "A : b", "A\u0001: b", " A: b", "Content-Length x: 3"})
        void isNotPassedOn(String line) throws Exception {
            assertLost(replyTo("HTTP/1.1 200 OK", line + "\r\nContent-Length: 4\r\n\r\nbody"));
        }

        @Test
        void doesNotCutTheBody() throws Exception {
            assertLost(replyTo("HTTP/1.1 200 OK", "Content-Length x: 3\r\n\r\nbody"));
        }
    }

    @Nested
    class TransferCoding {
        @ParameterizedTest
        @ValueSource(strings = {"gzip", "gzip, chunked", "xchunked"})
        void isNotPassedOnWithoutBeingDecoded(String coding) throws Exception {
            String field = "Transfer-Encoding: " + coding + "\r\n\r\n";
            assertLost(replyTo("HTTP/1.1 200 OK", field + "4\r\nbody\r\n0\r\n\r\n"));
        }
    }

    @Nested
    class WithoutALength {
        /** The node closes its connections to the server when a later incarnation reports. */
        @Test
        void answerThatARestartedServerDidNotEndIsLost() throws Exception {
            CountDownLatch halfWritten = new CountDownLatch(1);
            InetSocketAddress entry =
                    startNodes(
                            (r, s) -> {
                                s.getOutputStream().write(RawServer.text(HEAD_AND_HALF));
                                halfWritten.countDown();
                            });
            CompletableFuture<RawReply> reply =
                    CompletableFuture.supplyAsync(
                            () -> {
                                try {
                                    return sendRaw(entry, "POST", "/w/", "once");
                                } catch (IOException e) {
                                    throw new UncheckedIOException(e);
                                }
                            });
            assertThat(halfWritten.await(20, TimeUnit.SECONDS)).isTrue();
            Heartbeat restarted =
                    new Heartbeat(
                            "server-1", 9, "books", mServer.address(), 10, false, Duration.ZERO, 1);
            mLoop.run(() -> mRelays.get(1).onHeartbeat(restarted, () -> {}));
            assertLost(reply.get(20, TimeUnit.SECONDS));
        }
    }
}
