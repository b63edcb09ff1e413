package io.azurestage.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Guards against a request that a leaving node passes on because its body was complete late. */
class LateBodyTest {
    private static final String HEAD =
            "GET /bookings/late HTTP/1.1\r\nHost: a\r\nAzurestage-Partner: hire\r\n"
                    + "Authorization: Bearer "
                    + TestMesh.CREDENTIAL
                    + "\r\nAzurestage-Service: b\r\nExpect: 100-continue\r\nConnection: close\r\n"
                    + "Content-Length: 4\r\n\r\n";
    private static final String CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n";

    @Test
    void isRefusedAfterTheDrain() throws Exception {
        try (TestMesh mesh = new TestMesh()) {
            HostPort entry = mesh.node(0).ingress();
            try (Socket s = new Socket(entry.host(), entry.port())) {
                s.setSoTimeout(20_000);
                s.getOutputStream().write(HEAD.getBytes(StandardCharsets.US_ASCII));
                // Shows that the node reads the body.
                assertThat(s.getInputStream().readNBytes(CONTINUE.length()))
                        .asString()
                        .isEqualTo(CONTINUE);
                mesh.drain(0);
                s.getOutputStream().write("body".getBytes(StandardCharsets.US_ASCII));
                String answer =
                        new String(s.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
                assertThat(answer).contains("\"kind\":\"draining\"", "\"ran\":\"not-run\"");
            }
            assertThat(mesh.backend(1).runs()).isZero();
        }
    }
}
