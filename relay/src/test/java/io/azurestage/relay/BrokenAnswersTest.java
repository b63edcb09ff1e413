package io.azurestage.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against answers of a faulty server that reach its caller although they are not HTTP: the
 * request counts as lost.
 */
class BrokenAnswersTest extends RelayScenario {
    private static final String LOST = "the answer was lost\n";

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
}
