package io.azurestage.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against a server that writes an earlier refusal once more on a kept connection: the
 * request after it runs, and must not be reported as not run.
 */
class RepeatedRefusalTest extends RelayScenario {
    private static final int REFUSED = 503;
    private static final String END = "Content-Length: 0\r\n\r\n";

    /** Refuses the first request, and writes the refusal again before each other answer. */
    private InetSocketAddress startRepeating(String refusal) throws Exception {
        return startNodes(
                (r, s) -> {
                    s.getOutputStream().write(RawServer.text(refusal));
                    if (mServer.requests().size() > 1) {
                        s.getOutputStream().write(RawServer.ok(r, "run"));
                    }
                });
    }

    private int secondStatus(InetSocketAddress entry, String method, String target)
            throws Exception {
        assertThat(sendRaw(entry, "first", method, target, "", "").status()).isEqualTo(REFUSED);
        int status = sendRaw(entry, method, target, "").status();
        List<RawServer.Request> received = mServer.requests();
        assertThat(received).as("requests that reached the server").hasSize(2);
        return status;
    }

    @Test
    void refusalWithoutAnIdIsNotTakenForThatOfTheNextRequest() throws Exception {
        InetSocketAddress entry = startRepeating("HTTP/1.1 503 Busy\r\nNot-Run: 1\r\n" + END);
        assertThat(secondStatus(entry, "POST", "/w/")).isEqualTo(502);
    }

    @Test
    void misdirectionWithoutAnIdIsNotTakenForThatOfTheNextRequest() throws Exception {
        InetSocketAddress entry = startRepeating("HTTP/1.1 421 Other\r\n" + END);
        assertThat(secondStatus(entry, "POST", "/w/")).isEqualTo(502);
    }

    @Test
    void refusalWithTheIdOfTheEarlierRequestIsSkipped() throws Exception {
        InetSocketAddress entry =
                startRepeating("HTTP/1.1 503 Busy\r\nId: first\r\nNot-Run: 1\r\n" + END);
        assertThat(secondStatus(entry, "POST", "/w/")).isEqualTo(200);
    }
}
