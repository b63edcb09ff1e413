package io.azurestage.relay.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.azurestage.core.route.RequestLimits;
import io.azurestage.relay.Loop;
import io.azurestage.relay.RawServer;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a request that its caller stops writing, and that is handled as if complete. */
class TruncatedRequestTest {
    private static final String WHOLE = "GET /r/ HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";

    private final Loop mLoop = new Loop();
    private final AtomicInteger mHandled = new AtomicInteger();
    private final HttpListener mListener =
            HttpListener.open(
                    mLoop.group(),
                    new InetSocketAddress("127.0.0.1", 0),
                    RequestLimits::defaults,
                    (request, exchange) -> {
                        mHandled.incrementAndGet();
                        exchange.reply(Reply.text(200, "whole"));
                    });

    private int mSent;

    @AfterEach
    void close() {
        mLoop.close();
    }

    private Socket write(String bytes) throws Exception {
        Socket s = new Socket("127.0.0.1", mListener.port());
        s.setSoTimeout(20_000);
        s.getOutputStream().write(RawServer.text(bytes));
        return s;
    }

    /** Sends a complete request; what has been written before is read before its response. */
    private void sendWhole() throws Exception {
        try (Socket s = write(WHOLE)) {
            s.getInputStream().readAllBytes();
        }
        mSent++;
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "POST /w/ HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody",
                "POST /w/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + "4\r\nbody\r\n0\r\n\r\n",
                WHOLE,
            })
    void prefixIsNotHandled(String request) throws Exception {
        for (int bytes = 0; bytes < request.length(); bytes++) {
            try (Socket s = write(request.substring(0, bytes))) {
                sendWhole();
                assertThat(mHandled.get()).as(request.substring(0, bytes)).isEqualTo(mSent);
                s.shutdownOutput();
            }
        }
        sendWhole();
        assertThat(mHandled.get()).isEqualTo(mSent);
    }
}
