package io.azurestage.store;

import static org.assertj.core.api.Assertions.assertThat;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class EtcdStoreResponseTest {
    private final AtomicBoolean mWholeWritten = new AtomicBoolean();

    private static WriteResult write(String answer) throws IOException {
        HttpServer server =
                HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.createContext(
                "/v3/kv/txn",
                exchange -> {
                    byte[] body = answer.getBytes(StandardCharsets.UTF_8);
                    exchange.sendResponseHeaders(200, body.length == 0 ? -1 : body.length);
                    exchange.getResponseBody().write(body);
                    exchange.close();
                });
        server.start();
        URI uri = URI.create("http://127.0.0.1:" + server.getAddress().getPort());
        try (PlatformStore store = EtcdStore.connect(List.of(uri), Duration.ofSeconds(20))) {
            return store.compareAndSwap("k", 0, new byte[0], 0).join();
        } finally {
            server.stop(0);
        }
    }

    // Guards against a malformed response that is reported as a conflict or as success.
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "null",
                "{}",
                "[]",
                "{\"succeeded\":true}",
                "{\"header\":{\"revision\":\"x\"},\"succeeded\":true}",
                "{\"header\":{\"revision\":\"7\"},\"succeeded\":\"yes\"}",
                "{\"header\":{\"revision\":\"7\"},\"succeeded\":true",
                "{\"header\":{\"revision\":\"7\"},\"succeeded\":true}{}",
                "<html></html>"
            })
    void malformedResponseMeansMaybeApplied(String answer) throws IOException {
        assertThat(write(answer)).isInstanceOf(WriteResult.MaybeApplied.class);
    }

    // Guards against a response that is no HTTP, or in a coding, and is reported as an outcome.
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 000 OK\r\n",
                "HTTP/1.1 0200 OK\r\n",
                "HTTP/1.1 600 OK\r\n",
                "HTTP/1.1 200 OK\r\nA b: c\r\n",
                "HTTP/1.1 200 OK\r\nA\u0001: b\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n",
                "HTTP/1.1 101 Switching Protocols\r\n"
            })
    void malformedHeadMeansMaybeApplied(String head) throws IOException {
        String body = "{\"header\":{\"revision\":\"7\"},\"succeeded\":true}";
        byte[] answer =
                (head + "Content-Length: " + body.length() + "\r\n\r\n" + body)
                        .getBytes(StandardCharsets.ISO_8859_1);
        assertThat(writeAnsweredWith(answer)).isInstanceOf(WriteResult.MaybeApplied.class);
    }

    // Guards against unbounded memory while a head or a trailer has no end.
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 ",
                "HTTP/1.1 200 OK\r\nA: b",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA"
            })
    void endlessHeadMeansMaybeApplied(String start) throws IOException {
        byte[] answer = (start + "b".repeat(64 << 20)).getBytes(StandardCharsets.ISO_8859_1);
        assertThat(writeAnsweredWith(answer)).isInstanceOf(WriteResult.MaybeApplied.class);
        assertThat(mWholeWritten).isFalse();
    }

    private WriteResult writeAnsweredWith(byte[] answer) throws IOException {
        try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            Thread thread = new Thread(() -> answerOnce(server, answer), "store");
            thread.setDaemon(true);
            thread.start();
            URI uri = URI.create("http://127.0.0.1:" + server.getLocalPort());
            try (PlatformStore store = EtcdStore.connect(List.of(uri), Duration.ofSeconds(20))) {
                return store.compareAndSwap("k", 0, new byte[0], 0).join();
            }
        }
    }

    private void answerOnce(ServerSocket server, byte[] answer) {
        try (Socket s = server.accept()) {
            s.getInputStream().read();
            s.getOutputStream().write(answer);
            mWholeWritten.set(true);
            s.getInputStream().readAllBytes();
        } catch (IOException e) {
            // The store has closed the connection.
            return;
        }
    }

    @Test
    void missingSucceededFieldMeansConflict() throws IOException {
        assertThat(write("{\"header\":{\"revision\":\"7\"}}"))
                .isEqualTo(new WriteResult.Conflict());
        assertThat(write("{\"header\":{\"revision\":\"7\"},\"succeeded\":true}"))
                .isEqualTo(new WriteResult.Applied(7));
    }

    // Guards against calls that never complete because the store was closed meanwhile.
    @Test
    void pendingCallsCompleteWhenTheStoreCloses() throws IOException {
        try (ServerSocket silent = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            URI uri = URI.create("http://127.0.0.1:" + silent.getLocalPort());
            PlatformStore store = EtcdStore.connect(List.of(uri), Duration.ofHours(1));
            CompletableFuture<WriteResult> write = store.compareAndSwap("k", 0, new byte[0], 0);
            CompletableFuture<ReadResult> read = store.get("k", false);
            store.close();
            assertThat(write.join()).isNotInstanceOf(WriteResult.Applied.class);
            assertThat(read.join()).isInstanceOf(ReadResult.Unavailable.class);
            assertThat(store.get("k", false).join()).isInstanceOf(ReadResult.Unavailable.class);
        }
    }

    // Guards against a thread leak in a long-lived process that closes its store.
    @Test
    void threadsEndWhenTheStoreCloses() throws IOException, InterruptedException {
        write("{}");
        for (Thread t : Thread.getAllStackTraces().keySet()) {
            if (t.getName().startsWith("azurestage-store")) {
                t.join(Duration.ofSeconds(20).toMillis());
                assertThat(t.isAlive()).as(t.getName()).isFalse();
            }
        }
    }
}
