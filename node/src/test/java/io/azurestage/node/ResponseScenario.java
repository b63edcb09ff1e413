package io.azurestage.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.HttpVersion;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/** Sends a request to a server that writes exactly the bytes that a test specifies. */
abstract class ResponseScenario {
    private static final int TIMEOUT_SECONDS = 3;

    /** Writes a response; the connection is closed after it. */
    @FunctionalInterface
    interface Script {
        void write(Socket s) throws IOException;
    }

    private ServerSocket mListener;
    private HttpClient mClient;
    private volatile Script mScript;

    @BeforeEach
    void start() throws Exception {
        mListener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Thread thread = new Thread(this::serve, "server");
        thread.setDaemon(true);
        thread.start();
        mClient =
                HttpClients.toBackend(
                        TestMesh.settings(
                                "node", "a", new HostPort("127.0.0.1", mListener.getLocalPort())));
        HttpClients.start(mClient);
    }

    @AfterEach
    void stop() throws IOException {
        HttpClients.stop(mClient);
        mListener.close();
    }

    private void serve() {
        while (!mListener.isClosed()) {
            try (Socket s = mListener.accept()) {
                InputStream in = s.getInputStream();
                int last = 0;
                while (last != 0x0d0a0d0a) {
                    last = last << 8 | in.read();
                }
                mScript.write(s);
                s.shutdownOutput();
                in.readAllBytes();
            } catch (IOException e) {
                continue;
            }
        }
    }

    static byte[] text(String s) {
        return s.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Records how a response ended: with its status, as a stream, or with a failure. */
    private static final class Recorder implements ResponseHandler {
        private final CompletableFuture<String> mEnd = new CompletableFuture<>();

        @Override
        public void received(Response r, byte[] body) {
            mEnd.complete(r.getStatus() + " " + new String(body, StandardCharsets.ISO_8859_1));
        }

        @Override
        public StreamSink stream(Response r) {
            return new StreamSink() {
                @Override
                public void write(ByteBuffer part, Runnable written, Consumer<Throwable> failed) {
                    written.run();
                }

                @Override
                public void end() {}

                @Override
                public void abort(Throwable cause) {}
            };
        }

        @Override
        public void streamEnded(Response r) {
            mEnd.complete("stream");
        }

        @Override
        public void failed(Throwable cause, boolean sent, long streamed) {
            mEnd.complete("failed");
        }
    }

    /** Uses a connection of its own, since the server closes it after the response. */
    String endOf(Script script) throws Exception {
        mScript = script;
        Recorder recorder = new Recorder();
        new ResponseReceiver(recorder, HttpVersion.HTTP_1_1)
                .send(
                        mClient.newRequest("http://127.0.0.1:" + mListener.getLocalPort())
                                .headers(h -> h.put("Connection", "close"))
                                .timeout(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        return recorder.mEnd.get(20, TimeUnit.SECONDS);
    }

    String endOf(String response) throws Exception {
        return endOf(s -> s.getOutputStream().write(text(response)));
    }

    /** Writes the same bytes until the client closes; returns how many were written. */
    long writtenUntilClose(String prefix, String repeated) throws Exception {
        byte[] more = text(repeated.repeat(1 + (16 << 10) / repeated.length()));
        AtomicLong written = new AtomicLong();
        String end =
                endOf(
                        s -> {
                            s.getOutputStream().write(text(prefix));
                            while (true) {
                                s.getOutputStream().write(more);
                                written.addAndGet(more.length);
                            }
                        });
        assertThat(end).isEqualTo("failed");
        return written.get();
    }
}
