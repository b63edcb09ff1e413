package io.azurestage.node;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against bytes of a faulty backend server that pass as a complete answer. */
class ResponseReceiverTest extends ResponseScenario {
    private static final String HEAD = "HTTP/1.1 200 OK\r\n";
    private static final String BODY = "Content-Length: 4\r\n\r\nbody";

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
