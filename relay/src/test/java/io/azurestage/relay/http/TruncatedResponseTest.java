package io.azurestage.relay.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.azurestage.core.time.TimeSource;
import io.azurestage.mesh.Address;
import io.azurestage.relay.Loop;
import io.azurestage.relay.RawServer;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a response that a server stops writing, in its head or later, and that looks
 * complete: each prefix of it, followed by an orderly close, is a loss.
 */
class TruncatedResponseTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nId: one\r\nSigned: s\r\n";
    private static final Duration TIMEOUT = Duration.ofSeconds(60);

    private final Loop mLoop = new Loop();
    private RawServer mServer;

    @AfterEach
    void close() throws Exception {
        mLoop.close();
    }

    /** Returns the result of a request whose response ends after a number of bytes. */
    private OutboundResult resultOf(String response, int bytes) throws Exception {
        byte[] part = RawServer.text(response.substring(0, bytes));
        mServer =
                new RawServer(
                        (r, s) -> {
                            s.getOutputStream().write(part);
                            s.close();
                        });
        HttpPool pool =
                new HttpPool(
                        (EventLoop) mLoop.group().next(),
                        TimeSource.system(),
                        Address.parse(mServer.address()).orElseThrow(),
                        Duration.ofSeconds(1));
        AtomicReference<OutboundResult> result = new AtomicReference<>();
        OutboundRequest request =
                new OutboundRequest(
                        "GET",
                        "/",
                        "h",
                        List.of(),
                        new byte[0],
                        TIMEOUT,
                        false,
                        ResponseFilter.ANY);
        mLoop.run(() -> pool.send(request, result::set));
        Loop.await("a result", () -> result.get() != null);
        mServer.close();
        return result.get();
    }

    private void assertEachPrefixIsLost(String response, int to) throws Exception {
        for (int bytes = 0; bytes < to; bytes++) {
            assertThat(resultOf(response, bytes))
                    .as(response.substring(0, bytes))
                    .isInstanceOf(OutboundResult.Lost.class);
        }
    }

    @Test
    void prefixOfAResponseWithALengthIsLost() throws Exception {
        String response = HEAD + "Content-Length: 12\r\n\r\nsigned bytes";
        assertEachPrefixIsLost(response, response.length());
        assertThat(resultOf(response, response.length()))
                .isInstanceOf(OutboundResult.Answered.class);
    }

    @Test
    void prefixOfAResponseInChunksIsLost() throws Exception {
        String response = HEAD + "Transfer-Encoding: chunked\r\n\r\n6\r\nsigned\r\n0\r\n\r\n";
        assertEachPrefixIsLost(response, response.length());
        assertThat(resultOf(response, response.length()))
                .isInstanceOf(OutboundResult.Answered.class);
    }

    @Test
    void prefixOfAnEmptyResponseIsLost() throws Exception {
        String response = HEAD + "Content-Length: 0\r\n\r\n";
        assertEachPrefixIsLost(response, response.length());
        assertThat(resultOf(response, response.length()))
                .isInstanceOf(OutboundResult.Answered.class);
    }

    /** The body of such a response ends with its connection, so only its head can be checked. */
    @Test
    void prefixOfTheHeadOfAResponseWithoutALengthIsLost() throws Exception {
        String head = HEAD + "\r\n";
        assertEachPrefixIsLost(head + "signed bytes", head.length());
    }

    @Test
    void prefixOfAResponseWithoutABodyIsLost() throws Exception {
        String response = "HTTP/1.1 204 No Content\r\nId: one\r\nSigned: s\r\n\r\n";
        assertEachPrefixIsLost(response, response.length());
    }

    @Test
    void prefixAfterAnInformationalResponseIsLost() throws Exception {
        String response = "HTTP/1.1 100 Continue\r\n\r\n" + HEAD + "Content-Length: 1\r\n\r\nx";
        assertEachPrefixIsLost(response, response.length());
    }
}
