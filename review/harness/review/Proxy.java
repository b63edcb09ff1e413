package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Predicate;

/** TCP proxy on the loopback address whose connections can fall silent. */
final class Proxy {
    /** One connection through the proxy. */
    final class Link {
        private final Socket client;
        private final Socket server;
        private volatile boolean silent;

        /** Start of the last bytes from the client. */
        volatile String lastRequest = "";

        volatile long lastRequestNanos;

        private Link(Socket client, Socket server) {
            this.client = client;
            this.server = server;
        }

        /** Passes nothing on any more, and does not close. */
        void silence() {
            silent = true;
        }

        private void copy(Socket from, Socket to, boolean isRequest) {
            byte[] chunk = new byte[64 << 10];
            try {
                InputStream in = from.getInputStream();
                OutputStream out = to.getOutputStream();
                for (int n = in.read(chunk); n >= 0; n = in.read(chunk)) {
                    if (isRequest) {
                        lastRequestNanos = System.nanoTime();
                        lastRequest = new String(chunk, 0, Math.min(n, 200),
                                StandardCharsets.ISO_8859_1);
                    }
                    if (!silent) {
                        out.write(chunk, 0, n);
                        out.flush();
                    }
                }
            } catch (IOException e) {
                // The connection has ended.
            }
            if (!silent) {
                close(client);
                close(server);
                links.remove(this);
            }
        }
    }

    private final ServerSocket listener;
    private final int target;
    private final List<Link> links = new CopyOnWriteArrayList<>();

    Proxy(int target) throws IOException {
        this.target = target;
        listener = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        Backend.daemon(this::accept, "proxy");
    }

    int port() {
        return listener.getLocalPort();
    }

    private void accept() {
        while (true) {
            try {
                Socket client = listener.accept();
                Socket server = new Socket("127.0.0.1", target);
                client.setTcpNoDelay(true);
                server.setTcpNoDelay(true);
                Link l = new Link(client, server);
                links.add(l);
                Backend.daemon(() -> l.copy(client, server, true), "proxy-requests");
                Backend.daemon(() -> l.copy(server, client, false), "proxy-answers");
            } catch (IOException e) {
                return;
            }
        }
    }

    List<Link> find(Predicate<Link> condition) {
        return links.stream().filter(condition).toList();
    }

    int connections() {
        return links.size();
    }

    private static void close(Socket s) {
        try {
            s.close();
        } catch (IOException e) {
            // It is closed already.
        }
    }
}
