package io.azurestage.relay.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.azurestage.relay.RawServer;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against bytes that the grammar of RFC 9112 does not allow and that pass as a response. */
class ResponseDecoderTest {
    private static final String STATUS_LINE = "HTTP/1.1 200 OK\r\n";
    private static final String FIELDS = "Id: one\r\nContent-Length: 4\r\n\r\n";
    private static final String BODY = "body";

    /** Reports whether bytes are decoded as a complete response without an error. */
    private static boolean isAccepted(String bytes) {
        EmbeddedChannel channel = new EmbeddedChannel(new ResponseDecoder());
        channel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.ISO_8859_1));
        channel.finish();
        boolean valid = true;
        boolean complete = false;
        for (HttpObject o = channel.readInbound(); o != null; o = channel.readInbound()) {
            valid &= o.decoderResult().isSuccess();
            complete |= o instanceof LastHttpContent;
            ReferenceCountUtil.release(o);
        }
        return valid && complete;
    }

    /** Replaces a character, or inserts one before it. */
    private static String mutate(String text, int at, int c, boolean insert) {
        return text.substring(0, at) + (char) c + text.substring(insert ? at : at + 1);
    }

    @Nested
    class StatusLine {
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "HTTP/1.1 200 OK",
                    "HTTP/1.1 200 ",
                    "HTTP/1.1 200",
                    "HTTP/1.0 599 \u00fcber\tall",
                    "HTTP/1.9 404  Not found"
                })
        void validIsAccepted(String line) {
            assertThat(isAccepted(line + "\r\n" + FIELDS + BODY)).isTrue();
        }

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "HTTP/1.1 000 OK",
                    "HTTP/1.1 099 OK",
                    "HTTP/1.1 20 OK",
                    "HTTP/1.1 0200 OK",
                    "HTTP/1.1 +200 OK",
                    "HTTP/1.1 600 OK",
                    "HTTP/1.1 1000 OK"
                })
        void statusOutsideTheGrammarIsRejected(String line) {
            assertThat(isAccepted(line + "\r\n" + FIELDS + BODY)).isFalse();
        }

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "http/1.1 200 OK",
                    "HTTP/2.0 200 OK",
                    "HTTP/0.9 200 OK",
                    "HTTP/1.1  200 OK",
                    "HTTP/1.1\t200 OK",
                    "HTTP/1.1 200\tOK",
                    "HTTP/1.1 200 O\u0001K",
                    " HTTP/1.1 200 OK",
                    "\r\nHTTP/1.1 200 OK"
                })
        void otherLineOutsideTheGrammarIsRejected(String line) {
            assertThat(isAccepted(line + "\r\n" + FIELDS + BODY)).isFalse();
        }

        @Test
        void secondResponseIsChecked() {
            String informational = "HTTP/1.1 100 Continue\r\n\r\n";
            assertThat(isAccepted(informational + STATUS_LINE + FIELDS + BODY)).isTrue();
            assertThat(isAccepted(informational + "HTTP/1.1 000 OK\r\n" + FIELDS + BODY)).isFalse();
        }
    }

    @Nested
    class FieldLines {
        @ParameterizedTest
        @ValueSource(strings = {"A:", "A: b\t c \u00fc", "!#$%&'*+-.^_`|~09azAZ:b", "A:b:c"})
        void validIsAccepted(String line) {
            assertThat(isAccepted(STATUS_LINE + line + "\r\n" + FIELDS + BODY)).isTrue();
        }

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "A b: c",
                    "A : b",
                    "A\t: b",
                    "Content-Length x: 3",
                    "A\u0000: b",
                    "A\u0001b: c",
                    "A\u007f: b",
                    "A\u00fc: b",
                    "A(b): c",
                    " A: b",
                    ": b",
                    "A"
                })
        void nameOutsideTheGrammarIsRejected(String line) {
            assertThat(isAccepted(STATUS_LINE + line + "\r\n" + FIELDS + BODY)).isFalse();
        }

        @ParameterizedTest
        @ValueSource(strings = {"A: b\u0000", "A: \u0001b", "A: b\rc", "A: \u007f"})
        void valueOutsideTheGrammarIsRejected(String line) {
            assertThat(isAccepted(STATUS_LINE + line + "\r\n" + FIELDS + BODY)).isFalse();
        }

        @ParameterizedTest
        @ValueSource(strings = {" b: c", "\tb", " "})
        void continuationOfTheLineBeforeIsRejected(String line) {
            assertThat(isAccepted(STATUS_LINE + "A: b\r\n" + line + "\r\n" + FIELDS + BODY))
                    .isFalse();
        }

        @ParameterizedTest
        @ValueSource(strings = {"A b: c", "A : b", "A\u0001: b"})
        void nameInATrailerIsChecked(String line) {
            String chunks = "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n";
            assertThat(isAccepted(STATUS_LINE + chunks + "A: b\r\n\r\n")).isTrue();
            assertThat(isAccepted(STATUS_LINE + chunks + line + "\r\n\r\n")).isFalse();
        }

        @Test
        void linesThatArriveByteByByteAreChecked() {
            EmbeddedChannel channel = new EmbeddedChannel(new ResponseDecoder());
            for (byte b : RawServer.text(STATUS_LINE + "A: b c\r\n" + FIELDS)) {
                channel.writeInbound(Unpooled.wrappedBuffer(new byte[] {b}));
            }
            HttpObject head = channel.readInbound();
            assertThat(head.decoderResult().isSuccess()).isTrue();
            channel.finishAndReleaseAll();
        }
    }

    @Nested
    class TransferCoding {
        private static final String CHUNKS = "\r\n4\r\nbody\r\n0\r\n\r\n";

        @ParameterizedTest
        @ValueSource(strings = {"chunked", "Chunked", " chunked\t"})
        void chunkedIsAccepted(String coding) {
            String field = "Transfer-Encoding:" + coding + "\r\n";
            assertThat(isAccepted(STATUS_LINE + field + CHUNKS)).isTrue();
        }

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "gzip",
                    "gzip, chunked",
                    "chunked, chunked",
                    "chunked, gzip",
                    "xchunked",
                    "chunked;q=1",
                    "identity",
                    ""
                })
        void otherCodingIsRejected(String coding) {
            String field = "Transfer-Encoding: " + coding + "\r\n";
            assertThat(isAccepted(STATUS_LINE + field + CHUNKS)).isFalse();
            assertThat(isAccepted(STATUS_LINE + field + FIELDS + BODY)).isFalse();
        }

        @Test
        void chunkedTwiceOrWithALengthOrInHttp10IsRejected() {
            String field = "Transfer-Encoding: chunked\r\n";
            assertThat(isAccepted(STATUS_LINE + field + field + CHUNKS)).isFalse();
            assertThat(isAccepted(STATUS_LINE + field + "Content-Length: 4\r\n" + CHUNKS))
                    .isFalse();
            assertThat(isAccepted("HTTP/1.0 200 OK\r\n" + field + CHUNKS)).isFalse();
        }
    }

    @Group
    class Mutations {
        private static final String FIELD_VALUE = "[\t -~\u0080-\u00ff]*";
        private static final Pattern VALID_START =
                Pattern.compile("HTTP/1\\.[0-9] [1-5][0-9]{2}( " + FIELD_VALUE + ")?\r\n");
        private static final Pattern VALID_HEAD =
                Pattern.compile(
                        VALID_START + "([-!#$%&'*+.^_`|~0-9A-Za-z]+:" + FIELD_VALUE + "\r\n)*\r\n");

        @Property(seed = "43", tries = 20_000)
        void acceptedHeadMatchesTheGrammar(
                @ForAll @IntRange(max = 51) int at,
                @ForAll @IntRange(max = 255) int c,
                @ForAll boolean insert) {
            String response = mutate(STATUS_LINE + "A: b\r\n" + FIELDS, at, c, insert) + BODY;
            if (isAccepted(response)) {
                assertThat(VALID_HEAD.matcher(response).lookingAt()).as(response).isTrue();
            }
        }

        @Property(seed = "43", tries = 5_000)
        void acceptedStatusLineMatchesTheGrammar(
                @ForAll @IntRange(max = 16) int at,
                @ForAll @IntRange(max = 255) int c,
                @ForAll boolean insert) {
            String line = mutate(STATUS_LINE, at, c, insert);
            if (isAccepted(line + FIELDS + BODY)) {
                assertThat(VALID_START.matcher(line + FIELDS).lookingAt()).as(line).isTrue();
            }
        }
    }
}
