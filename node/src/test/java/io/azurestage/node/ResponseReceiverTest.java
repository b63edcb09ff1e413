package io.azurestage.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.HttpVersion;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against bytes of a faulty backend server that pass as a complete answer. */
class ResponseReceiverTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\n";
    private static final String BODY = "Content-Length: 4\r\n\r\nbody";

    private static final int TIMEOUT_SECONDS = 3;

    /** Writes a response; the connection is closed after it. */
    @FunctionalInterface
    interface Script {
        void write(Socket s) throws IOException;
    }

    private ServerSocket mListener;
    private HttpClient mClient;
    private volatile Script mScript;

    @BeforeEach
    void start() throws Exception {
        mListener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Thread thread = new Thread(this::serve, "server");
        thread.setDaemon(true);
        thread.start();
        mClient =
                HttpClients.toBackend(
                        TestMesh.settings(
                                "node", "a", new HostPort("127.0.0.1", mListener.getLocalPort())));
        HttpClients.start(mClient);
    }

    @AfterEach
    void stop() throws IOException {
        HttpClients.stop(mClient);
        mListener.close();
    }

    private void serve() {
        while (!mListener.isClosed()) {
            try (Socket s = mListener.accept()) {
                InputStream in = s.getInputStream();
                int last = 0;
                while (last != 0x0d0a0d0a) {
                    last = last << 8 | in.read();
                }
                mScript.write(s);
                s.shutdownOutput();
                in.readAllBytes();
            } catch (IOException e) {
                continue;
            }
        }
    }

    private static byte[] text(String s) {
        return s.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Records how a response ended: with its status, as a stream, or with a failure. */
    private static final class Recorder implements ResponseHandler {
        private final CompletableFuture<String> mEnd = new CompletableFuture<>();

        @Override
        public void received(Response r, byte[] body) {
            mEnd.complete(r.getStatus() + " " + new String(body, StandardCharsets.ISO_8859_1));
        }

        @Override
        public StreamSink stream(Response r) {
            return new StreamSink() {
                @Override
                public void write(ByteBuffer part, Runnable written, Consumer<Throwable> failed) {
                    written.run();
                }

                @Override
                public void end() {}

                @Override
                public void abort(Throwable cause) {}
            };
        }

        @Override
        public void streamEnded(Response r) {
            mEnd.complete("stream");
        }

        @Override
        public void failed(Throwable cause, boolean sent, long streamed) {
            mEnd.complete("failed");
        }
    }

    private String endOf(Script script) throws Exception {
        mScript = script;
        Recorder recorder = new Recorder();
        new ResponseReceiver(recorder, HttpVersion.HTTP_1_1)
                .send(
                        mClient.newRequest("http://127.0.0.1:" + mListener.getLocalPort())
                                .timeout(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        return recorder.mEnd.get(20, TimeUnit.SECONDS);
    }

    private String endOf(String response) throws Exception {
        return endOf(s -> s.getOutputStream().write(text(response)));
    }

    @Test
    void validResponseIsReceived() throws Exception {
        assertThat(endOf(HEAD + BODY)).isEqualTo("200 body");
        assertThat(endOf("HTTP/1.0 599 \r\n" + BODY)).isEqualTo("599 body");
        String chunks = "\r\n\r\n4\r\nbody\r\n0\r\n\r\n";
        assertThat(endOf(HEAD + "Transfer-Encoding: chunked" + chunks)).isEqualTo("200 body");
    }

    @Nested
    class Head {
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "HTTP/1.1 000 OK",
                    "HTTP/1.1 099 OK",
                    "HTTP/1.1 600 OK",
                    "HTTP/1.1 999 OK",
                    "HTTP/1.1 1000 OK",
                    "HTTP/2.0 200 OK",
                    "HTTP/0.9 200 OK",
                    "HTTP/1.1 200 O\u0001K",
                    "HTTP/1.1 101 Switching Protocols"
                })
        void statusLineOutsideTheGrammarIsAFailure(String line) throws Exception {
            assertThat(endOf(line + "\r\n" + BODY)).isEqualTo("failed");
        }

        @ParameterizedTest
        @ValueSource(strings = {"A b: c", "A : b", " A: b", "A\u0001: b", "A: \u0000", "A", ": b"})
        void fieldOutsideTheGrammarIsAFailure(String line) throws Exception {
            assertThat(endOf(HEAD + line + "\r\n" + BODY)).isEqualTo("failed");
        }

        @ParameterizedTest
        @ValueSource(strings = {"gzip", "gzip, chunked", "xchunked"})
        void otherTransferCodingIsAFailure(String coding) throws Exception {
            String chunks = "\r\n\r\n4\r\nbody\r\n0\r\n\r\n";
            assertThat(endOf(HEAD + "Transfer-Encoding: " + coding + chunks)).isEqualTo("failed");
        }
    }

    @Nested
    class InformationalResponse {
        @ParameterizedTest
        @ValueSource(ints = {100, 102, 103})
        void isSkipped(int status) throws Exception {
            assertThat(endOf("HTTP/1.1 " + status + " X\r\n\r\n" + HEAD + BODY))
                    .isEqualTo("200 body");
        }

        /** Jetty would wait for more without a timeout. */
        @ParameterizedTest
        @ValueSource(ints = {104, 199})
        void ofAnotherKindIsAFailure(int status) throws Exception {
            assertThat(endOf("HTTP/1.1 " + status + " X\r\n\r\n" + HEAD + BODY))
                    .isEqualTo("failed");
        }

        @ParameterizedTest
        @ValueSource(ints = {100, 104})
        void doesNotStopTheTimeout(int status) throws Exception {
            assertThat(
                            endOf(
                                    s -> {
                                        s.getOutputStream()
                                                .write(text("HTTP/1.1 " + status + " X\r\n\r\n"));
                                        s.getInputStream().read();
                                    }))
                    .isEqualTo("failed");
        }
    }

    @Nested
    class WithoutALength {
        @ParameterizedTest
        @ValueSource(strings = {"HTTP/1.1 200 OK", "HTTP/2.0 200 OK"})
        void shortBodyIsAFailure(String line) throws Exception {
            assertThat(endOf(line + "\r\n\r\nhalf")).isEqualTo("failed");
        }

        @Test
        void longBodyIsAFailure() throws Exception {
            byte[] half = new byte[ResponseReceiver.MAX_BUFFERED_BYTES + 1];
            assertThat(
                            endOf(
                                    s -> {
                                        s.getOutputStream().write(text(HEAD + "\r\n"));
                                        s.getOutputStream().write(half);
                                    }))
                    .isEqualTo("failed");
        }
    }

    /** Bytes without end, in a part of the response that no limit of the body covers. */
    @Nested
    class Endless {
        private static final int MOST_BYTES = 64 << 20;

        /** Writes the same bytes until the client closes; returns how many were written. */
        private long writtenUntilClose(String prefix, String repeated) throws Exception {
            byte[] more = text(repeated.repeat(1 + (16 << 10) / repeated.length()));
            AtomicLong written = new AtomicLong();
            String end =
                    endOf(
                            s -> {
                                s.getOutputStream().write(text(prefix));
                                while (true) {
                                    s.getOutputStream().write(more);
                                    written.addAndGet(more.length);
                                }
                            });
            assertThat(end).isEqualTo("failed");
            return written.get();
        }

        private void assertEnds(String prefix, String repeated) throws Exception {
            assertThat(writtenUntilClose(prefix, repeated)).isLessThan(MOST_BYTES);
        }

        @Test
        void reasonPhrase() throws Exception {
            assertEnds("HTTP/1.1 200 ", "O");
        }

        @Test
        void fieldName() throws Exception {
            assertEnds(HEAD, "A");
        }

        @Test
        void fieldValue() throws Exception {
            assertEnds(HEAD + "A: ", "b");
        }

        @Test
        void fields() throws Exception {
            assertEnds(HEAD, "A: b\r\n");
        }

        @Test
        void blankLinesBeforeAResponse() throws Exception {
            assertEnds("", "\r\n");
        }

        @Test
        void informationalResponses() throws Exception {
            assertEnds("", "HTTP/1.1 100 Continue\r\n\r\n");
        }

        /** Jetty keeps none of these bytes, so only the timeout ends them. */
        @ParameterizedTest
        @ValueSource(strings = {"1;", ""})
        void lineOfAChunkEndsAtTheTimeout(String prefix) throws Exception {
            writtenUntilClose(HEAD + "Transfer-Encoding: chunked\r\n\r\n" + prefix, "0");
        }

        @Test
        void trailers() throws Exception {
            assertEnds(HEAD + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n");
        }

        @Test
        void bodyWithoutLength() throws Exception {
            assertEnds(HEAD + "\r\n", "never");
        }
    }
}
