package io.azurestage.node;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.InputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.client.ContentResponse;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;

/** Invalid requests and settings: the node refuses them with a clear message and keeps serving. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class BadInputTest {
    private TestMesh mMesh;

    @BeforeAll
    void start() throws Exception {
        mMesh = new TestMesh();
    }

    @AfterAll
    void stop() throws Exception {
        mMesh.close();
    }

    private String sendRaw(String request, boolean finish) throws Exception {
        HostPort a = mMesh.node(0).ingress();
        try (Socket s = new Socket(a.host(), a.port())) {
            s.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            if (finish) {
                s.shutdownOutput();
            }
            InputStream in = s.getInputStream();
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    private void checkStillServes() throws Exception {
        ContentResponse r = mMesh.send(mMesh.node(0), "GET", "/bookings/1", x -> {});
        assertThat(r.getContentAsString()).isEqualTo("a>b>c");
    }

    @Nested
    class Requests {
        @Test
        void oversizedHeaderIsRefused() throws Exception {
            String oversizedField = "X-Flood: " + "x".repeat(64 << 10) + "\r\n";
            String answer =
                    sendRaw("GET / HTTP/1.1\r\nHost: a\r\n" + oversizedField + "\r\n", false);
            assertThat(answer).startsWith("HTTP/1.1 431").contains("bad-request", "not-run");
            checkStillServes();
        }

        @Test
        void inputOtherThanHttpIsRefused() throws Exception {
            assertThat(sendRaw("\u0001\u0002 nonsense\r\n\r\n", true)).contains("400");
            checkStillServes();
        }

        // Guards against a truncated request body that is forwarded as if it were complete.
        @Test
        void truncatedBodyIsNotForwarded() throws Exception {
            int before = mMesh.backend(0).runs();
            sendRaw(
                    "PUT /bookings HTTP/1.1\r\nHost: a\r\nAzurestage-Partner: hire\r\n"
                            + "Authorization: Bearer "
                            + TestMesh.CREDENTIAL
                            + "\r\nAzurestage-Service: a\r\nContent-Length: 100\r\n\r\nhalf",
                    true);
            checkStillServes();
            assertThat(mMesh.backend(0).runs()).isEqualTo(before + 1);
        }

        @Test
        void unknownServiceIsRefused() throws Exception {
            ContentResponse r =
                    mMesh.send(
                            mMesh.node(0),
                            "GET",
                            "/",
                            x -> x.headers(h -> h.put(Headers.SERVICE, "nowhere")));
            assertThat(r.getContentAsString()).contains("unknown-service", "remedy");
        }

        @Test
        void unknownPartnerIsRefused() throws Exception {
            ContentResponse r =
                    mMesh.send(
                            mMesh.node(0),
                            "GET",
                            "/",
                            x -> x.headers(h -> h.put(Headers.PARTNER, "nobody")));
            assertThat(r.getContentAsString()).contains("unknown-partner", "remedy");
        }

        @Test
        void invalidDeadlineIsRefused() throws Exception {
            ContentResponse r =
                    mMesh.send(
                            mMesh.node(0),
                            "GET",
                            "/",
                            x -> x.headers(h -> h.put(Headers.DEADLINE_MS, "soon")));
            assertThat(r.getContentAsString()).contains("bad-request", "Azurestage-Deadline-Ms");
        }
    }

    @Nested
    class Settings {
        @Test
        void emptyFileIsRefused() {
            assertThatThrownBy(() -> SettingsLoader.parse(" ", "node.json"))
                    .isInstanceOf(SettingsException.class)
                    .hasMessageContaining("node.json")
                    .hasMessageContaining("empty");
        }

        @Test
        void errorForWrongTypeNamesTheField() {
            assertThatThrownBy(() -> SettingsLoader.parse("{\"slots\":\"many\"}", "x"))
                    .hasMessageContaining("/slots")
                    .hasMessageContaining("integer");
        }

        @Test
        void errorForPortInUseNamesTheSetting() throws Exception {
            try (ServerSocket taken = new ServerSocket(0)) {
                NodeSettings s =
                        TestMesh.settings(
                                "n", "a", new HostPort("127.0.0.1", 1), taken.getLocalPort());
                assertThatThrownBy(() -> Node.start(s))
                        .isInstanceOf(NodeStartException.class)
                        .hasMessageContaining("ingress")
                        .hasMessageContaining("free the port");
            }
        }
    }
}
