package io.azurestage.client;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class JettyTransportTest {
    private final AtomicLong mWritten = new AtomicLong();
    private ServerSocket mServer;
    private AzurestageClient mClient;
    private volatile String mResponse;
    private volatile String mEndless = "";

    @BeforeEach
    void start() throws IOException {
        mServer = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Thread thread = new Thread(this::serve);
        thread.setDaemon(true);
        thread.start();
        mClient =
                AzurestageClient.builder()
                        .entries(List.of(URI.create("http://127.0.0.1:" + mServer.getLocalPort())))
                        .partner("p", "secret")
                        .maxAttempts(2)
                        .maxBuffered(10)
                        .build();
    }

    @AfterEach
    void stop() throws IOException {
        mClient.close();
        mServer.close();
    }

    private void serve() {
        while (!mServer.isClosed()) {
            try (Socket socket = mServer.accept()) {
                var in = socket.getInputStream();
                int last = 0;
                while (last != 0x0d0a0d0a) {
                    last = last << 8 | in.read();
                }
                socket.getOutputStream().write(mResponse.getBytes(StandardCharsets.US_ASCII));
                while (!mEndless.isEmpty()) {
                    socket.getOutputStream().write(mEndless.getBytes(StandardCharsets.US_ASCII));
                    mWritten.addAndGet(mEndless.length());
                }
                socket.shutdownOutput();
                while (in.read() >= 0) {
                    continue;
                }
            } catch (IOException e) {
                continue;
            }
        }
    }

    private CallResult get(BodySink sink) {
        return mClient.call("s")
                .deadline(Duration.ofSeconds(20))
                .sink(sink)
                .send()
                .orTimeout(30, TimeUnit.SECONDS)
                .join();
    }

    /** Guards against reporting a broken transfer as a complete response. */
    @Nested
    class BrokenTransfer {
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "",
                    "HTTP/1.1 200 OK\r\n",
                    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabcd",
                    "HTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\nabcdefghijklmn",
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n",
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0",
                    "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabcd"
                })
        void isNeverWhole(String response) {
            mResponse = response;
            assertThat(get(bytes -> {})).isInstanceOf(CallResult.Failed.class);
        }
    }

    /** Guards against bytes that are no response of HTTP/1.1 and are reported as one. */
    @Nested
    class MalformedHead {
        private static final String BODY = "Content-Length: 4\r\n\r\nbody";

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "HTTP/1.1 000 OK",
                    "HTTP/1.1 099 OK",
                    "HTTP/1.1 600 OK",
                    "HTTP/1.1 999 OK",
                    "HTTP/1.1 101 Switching Protocols",
                    "HTTP/2.0 200 OK",
                    "HTTP/1.1 200 O\u0001K"
                })
        void statusLineIsNeverWhole(String line) {
            mResponse = line + "\r\n" + BODY;
            assertThat(get(null)).isInstanceOf(CallResult.Failed.class);
        }

        @ParameterizedTest
        @ValueSource(strings = {"A b: c", "A : b", " A: b", "A\u0001: b", "A: \u0000", ": b"})
        void fieldIsNeverWhole(String line) {
            mResponse = "HTTP/1.1 200 OK\r\n" + line + "\r\n" + BODY;
            assertThat(get(null)).isInstanceOf(CallResult.Failed.class);
        }

        @ParameterizedTest
        @ValueSource(strings = {"gzip", "gzip, chunked", "xchunked"})
        void transferCodingIsNeverWhole(String coding) {
            mResponse =
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: "
                            + coding
                            + "\r\n\r\n4\r\nbody\r\n0\r\n\r\n";
            assertThat(get(null)).isInstanceOf(CallResult.Failed.class);
        }

        @Test
        void lengthOfAnotherFieldDoesNotEndTheBody() {
            mResponse = "HTTP/1.1 200 OK\r\nContent-Length x: 3\r\n\r\nbody";
            assertThat(get(null)).isInstanceOf(CallResult.Failed.class);
        }
    }

    @Nested
    class InformationalResponse {
        @ParameterizedTest
        @ValueSource(strings = {"100 Continue", "102 Processing", "103 Early Hints"})
        void isNotTheFinalOne(String status) {
            mResponse =
                    "HTTP/1.1 " + status + "\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
            assertThat(((CallResult.Whole) get(null)).status()).isEqualTo(200);
        }
    }

    /** Guards against unbounded memory while a head or a trailer has no end. */
    @Nested
    class EndlessHead {
        private static final int MOST_BYTES = 64 << 20;

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "HTTP/1.1 200 ",
                    "HTTP/1.1 200 OK\r\nA",
                    "HTTP/1.1 200 OK\r\nA: b",
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA"
                })
        void isNeverWhole(String start) {
            mResponse = start;
            mEndless = "b".repeat(16 << 10);
            assertThat(get(bytes -> {})).isInstanceOf(CallResult.Failed.class);
            assertThat(mWritten.get()).isLessThan(MOST_BYTES);
        }
    }

    @Nested
    class LongBody {
        private static final String LONG =
                "HTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\nabcdefghijklmno";

        /** Guards against losing the first bytes, which are buffered before the limit is passed. */
        @Test
        void reachesTheSinkFromItsFirstByte() {
            mResponse = LONG;
            ByteArrayOutputStream seen = new ByteArrayOutputStream();
            CallResult result = get(bytes -> seen.writeBytes(copy(bytes)));
            assertThat(seen.toString(StandardCharsets.US_ASCII)).isEqualTo("abcdefghijklmno");
            assertThat(((CallResult.Whole) result).streamedBytes()).isEqualTo(15);
        }

        /** Guards against unbounded memory when the caller expects a short response. */
        @Test
        void failsWithoutSink() {
            mResponse = LONG;
            assertThat(get(null).toString()).contains("pass a sink");
        }

        /** Guards against a complete result although the caller could not store the body. */
        @Test
        void failsWhenTheSinkFails() {
            mResponse = LONG;
            CallResult result =
                    get(
                            bytes -> {
                                throw new IOException("disk full");
                            });
            assertThat(result).isInstanceOf(CallResult.Failed.class);
        }

        private static byte[] copy(ByteBuffer bytes) {
            byte[] copy = new byte[bytes.remaining()];
            bytes.get(copy);
            return copy;
        }
    }

    /** Guards against treating a complete short response or an unauthorised status as a failure. */
    @ParameterizedTest
    @ValueSource(ints = {200, 303, 401, 500})
    void wholeResponseKeepsItsStatus(int status) {
        mResponse = "HTTP/1.1 " + status + " X\r\nContent-Length: 2\r\n\r\nok";
        CallResult.Whole whole = (CallResult.Whole) get(null);
        assertThat(whole.status()).isEqualTo(status);
        assertThat(whole.body()).asString().isEqualTo("ok");
    }
}
