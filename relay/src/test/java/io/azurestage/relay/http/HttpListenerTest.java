package io.azurestage.relay.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.azurestage.core.route.RequestLimits;
import io.azurestage.relay.Loop;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class HttpListenerTest {
    private static final byte[] REQUEST =
            "GET /a HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    private final Loop mLoop = new Loop();
    private final AtomicReference<Exchange> mExchange = new AtomicReference<>();
    private final HttpListener mListener =
            HttpListener.open(
                    mLoop.group(),
                    new InetSocketAddress("127.0.0.1", 0),
                    RequestLimits::defaults,
                    (request, exchange) -> mExchange.set(exchange));

    @AfterEach
    void close() throws Exception {
        mLoop.close();
    }

    private Socket connect() throws Exception {
        Socket s = new Socket("127.0.0.1", mListener.port());
        s.setSoTimeout(5_000);
        return s;
    }

    /** Sends a request, closes the listener while it is handled, and reads to the end of stream. */
    private String responseAfterListenerClose(Socket s) throws Exception {
        s.getOutputStream().write(REQUEST);
        Loop.await("the request", () -> mExchange.get() != null);
        mLoop.run(mListener::close);
        mLoop.run(() -> mExchange.get().reply(Reply.text(200, "whole")));
        return new String(s.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    }

    @Nested
    class Draining {
        @Test
        void existingConnectionIsClosedAfterItsResponse() throws Exception {
            try (Socket s = connect()) {
                s.getOutputStream().write(REQUEST);
                Loop.await("the request", () -> mExchange.get() != null);
                mLoop.run(mListener::drain);
                mLoop.run(() -> mExchange.get().reply(Reply.text(200, "whole")));
                assertThat(new String(s.getInputStream().readAllBytes()))
                        .containsIgnoringCase("connection: close")
                        .endsWith("whole");
            }
        }

        @Test
        void newConnectionIsClosedAfterItsResponse() throws Exception {
            mLoop.run(mListener::drain);
            try (Socket s = connect()) {
                assertThat(responseAfterListenerClose(s))
                        .containsIgnoringCase("connection: close")
                        .endsWith("whole");
            }
        }
    }
}
