package io.azurestage.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a broken answer of a node that is shown as one, or kept without end. */
class NodeClientTest {
    private final AtomicBoolean mWholeWritten = new AtomicBoolean();

    private NodeResponse responseTo(String answer) throws Exception {
        try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            Thread thread = new Thread(() -> answerOnce(server, answer), "node");
            thread.setDaemon(true);
            thread.start();
            try (NodeClient client = new NodeClient(Duration.ofSeconds(20))) {
                return client.get("127.0.0.1:" + server.getLocalPort(), "/status")
                        .get(30, TimeUnit.SECONDS);
            }
        }
    }

    private void answerOnce(ServerSocket server, String answer) {
        try (Socket s = server.accept()) {
            s.getInputStream().read();
            s.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
            mWholeWritten.set(true);
            s.getInputStream().readAllBytes();
        } catch (IOException e) {
            // The client has closed the connection.
            return;
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {"HTTP/1.1 000 OK", "HTTP/1.1 200 OK\r\nA b: c", "HTTP/1.1 200 O\u0001K"})
    void malformedHeadIsNoResponse(String head) throws Exception {
        NodeResponse r = responseTo(head + "\r\nContent-Length: 2\r\n\r\n{}");
        assertThat(r.status()).isZero();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 ",
                "HTTP/1.1 200 OK\r\nA: b",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA"
            })
    void endlessHeadIsNoResponse(String start) throws Exception {
        assertThat(responseTo(start + "b".repeat(64 << 20)).status()).isZero();
        assertThat(mWholeWritten).isFalse();
    }
}
