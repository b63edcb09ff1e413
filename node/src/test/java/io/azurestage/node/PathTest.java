package io.azurestage.node;

import static org.assertj.core.api.Assertions.assertThat;

import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.StringRequestContent;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests requests over loopback through a chain of three services, each with its own node. */
class PathTest {
    private TestMesh mMesh;

    @BeforeEach
    void start() throws Exception {
        mMesh = new TestMesh();
    }

    @AfterEach
    void stop() throws Exception {
        mMesh.close();
    }

    @Nested
    class Answers {
        @Test
        void comeWholeThroughThreeServices() throws Exception {
            ContentResponse r = mMesh.send(mMesh.node(2), "GET", "/bookings/1", x -> {});
            assertThat(r.getContentAsString()).isEqualTo("a>b>c");
        }

        // Guards against reporting the refusal of a sub-call as the refusal of the whole request.
        @Test
        void ofAParentNeverSayNotRunForItsSubCall() throws Exception {
            mMesh.node(2).close();
            ContentResponse r = mMesh.send(mMesh.node(0), "GET", "/bookings/1", x -> {});
            assertThat(r.getStatus()).isEqualTo(502);
            assertThat(r.getContentAsString())
                    .contains("\"kind\":\"dependency-failed\"", "\"ran\":\"unknown\"");
        }
    }

    @Nested
    class Tickets {
        @Test
        void areRequiredForNonIdempotentCalls() throws Exception {
            ContentResponse r = mMesh.send(mMesh.node(0), "POST", "/advances", x -> {});
            assertThat(r.getContentAsString()).contains("ticket-required", "not-run");
            assertThat(mMesh.backend(0).runs()).isEqualTo(0);
        }

        // Guards against running a request twice when its caller repeats it after a lost answer.
        @Test
        void runARequestOnce() throws Exception {
            String ticket = mMesh.ticket(mMesh.node(1), "a");
            mMesh.backend(0).behaviour((q, s, c) -> FakeBackend.reply(s, c, 200, "recorded"));
            for (DataPlane entry : mMesh.nodes()) {
                ContentResponse r =
                        mMesh.send(
                                entry,
                                "POST",
                                "/advances",
                                x -> {
                                    x.headers(h -> h.put(Headers.IDEMPOTENCY_KEY, ticket));
                                    x.body(new StringRequestContent("10 rupees"));
                                });
                assertThat(r.getStatus()).isLessThan(500);
            }
            assertThat(mMesh.backend(0).runs()).isEqualTo(1);
        }
    }

    @Nested
    class Callers {
        @Test
        void withoutACredentialAreRefused() throws Exception {
            ContentResponse r =
                    mMesh.send(
                            mMesh.node(0),
                            "GET",
                            "/bookings/1",
                            x -> x.headers(h -> h.put("Authorization", "Bearer guess")));
            assertThat(r.getStatus()).isEqualTo(401);
        }

        @Test
        void withAForgedContextAreRefused() throws Exception {
            ContentResponse r =
                    mMesh.send(
                            mMesh.node(0),
                            "GET",
                            "/bookings/1",
                            x -> x.headers(h -> h.put(Headers.CONTEXT, "AAAA.AAAA")));
            assertThat(r.getStatus()).isEqualTo(403);
            assertThat(r.getContentAsString()).contains("invalid-context");
        }

        @Test
        void withABodyOverTheLimitAreRefused() throws Exception {
            ContentResponse r =
                    mMesh.send(
                            mMesh.node(0),
                            "POST",
                            "/advances",
                            x -> x.body(new StringRequestContent("x".repeat(2 << 20))));
            assertThat(r.getStatus()).isEqualTo(413);
        }
    }
}
