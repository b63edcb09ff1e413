package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Stand-in for an application server: runs requests, and sends heartbeats to its node. */
class Backend {
    /** Answers a request that runs. */
    interface Handler {
        void run(Http.Message request, String attempt, OutputStream out)
                throws IOException, InterruptedException;
    }

    final String id;
    final long born;
    private final String service;
    private final Record record;
    private final int controlPort;
    private final Handler handler;
    private final ServerSocket listener;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final int advertisedPort;
    private volatile boolean ended;
    private volatile boolean dark;
    private volatile boolean beating = true;
    private long sequence;

    /** Creates a server; advertisedPort is the port that it states, 0 for its own. */
    Backend(Record record, String id, String service, int port, int advertisedPort,
            int controlPort, Handler handler) throws IOException {
        this.record = record;
        this.id = id;
        this.service = service;
        this.controlPort = controlPort;
        this.handler = handler;
        listener = new ServerSocket(port, 256, InetAddress.getByName("127.0.0.1"));
        this.advertisedPort = advertisedPort == 0 ? listener.getLocalPort() : advertisedPort;
        born = System.currentTimeMillis();
        daemon(this::accept, "server-" + id);
        daemon(this::beat, "heartbeats-" + id);
    }

    static Thread daemon(Runnable r, String name) {
        Thread t = new Thread(r, name);
        t.setDaemon(true);
        t.start();
        return t;
    }

    int port() {
        return listener.getLocalPort();
    }

    private void accept() {
        while (!ended) {
            try {
                Socket s = listener.accept();
                s.setTcpNoDelay(true);
                sockets.add(s);
                daemon(() -> serve(s), "connection-" + id);
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket s) {
        try (s) {
            BufferedInputStream in = new BufferedInputStream(s.getInputStream(), 64 << 10);
            OutputStream out = s.getOutputStream();
            while (!ended) {
                Http.Message m = takesBody() ? Http.read(in, false) : Http.readHead(in);
                String attempt = m.fields.getOrDefault("Azurestage-Attempt-Id", "");
                String target = m.fields.getOrDefault("Azurestage-Target-Instance", id);
                if (!target.equals(id)) {
                    record.add("server %s: 421 for %s (meant for %s)", id, attempt, target);
                    answer(out, 421, List.of("Azurestage-Instance-Id: " + id,
                            "Azurestage-Attempt-Id: " + attempt), new byte[0]);
                    continue;
                }
                record.add("server %s: runs %s %s", id, attempt, m.startLine);
                handle(m, attempt, s, in, out);
            }
        } catch (IOException e) {
            // The connection has ended.
            sockets.remove(s);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns whether the body of a request is read before the request is handled. */
    boolean takesBody() {
        return true;
    }

    /** Runs a request and answers it. */
    void handle(Http.Message m, String attempt, Socket s, BufferedInputStream in,
            OutputStream out) throws IOException, InterruptedException {
        handler.run(m, attempt, out);
    }

    boolean isDark() {
        return dark;
    }

    static void answer(OutputStream out, int status, List<String> fields, byte[] body)
            throws IOException {
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " X\r\n");
        fields.forEach(f -> head.append(f).append("\r\n"));
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        out.write(body);
        out.flush();
    }

    /** Sends a complete answer with the signature. */
    static void success(OutputStream out, String attempt, byte[] body) throws IOException {
        answer(out, 200, List.of("Azurestage-Attempt-Id: " + attempt,
                "Azurestage-Response-Signature: sig-" + attempt), body);
    }

    private void beat() {
        try {
            while (!ended) {
                if (beating) {
                    heartbeat("ready", nextSequence());
                }
                Thread.sleep(500);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Takes the next sequence number, for a heartbeat that is delivered late. */
    synchronized long nextSequence() {
        return ++sequence;
    }

    boolean heartbeat(String stated, long seq) {
        String body = """
                {"service":"%s","address":"127.0.0.1:%d","zone":"zone-a","version":"v1",\
                "slots":157,"state":"%s","coldRemaining":"0ms","sequence":%d,"born":%d}"""
                .formatted(service, advertisedPort, stated, seq, born);
        return call("/-/Instances.Heartbeat/" + id, body);
    }

    boolean deregister() {
        return call("/-/Instances.Deregister/" + id, "{\"born\":" + born + "}");
    }

    private boolean call(String path, String body) {
        try {
            return Http.send(controlPort, "POST", path, "node",
                    List.of("Content-Type: application/json"),
                    body.getBytes(StandardCharsets.UTF_8), 1000).status == 200;
        } catch (IOException e) {
            return false;
        }
    }

    void stopHeartbeats() {
        beating = false;
    }

    /** Falls silent: nothing is accepted or sent any more, and open connections stay as they are. */
    void goDark() {
        beating = false;
        dark = true;
        try {
            listener.close();
        } catch (IOException e) {
            record.add("server %s: %s", id, e);
        }
    }

    /** Ends the server; its connections are closed. */
    void end() {
        ended = true;
        beating = false;
        try {
            listener.close();
            for (Socket s : sockets) {
                s.close();
            }
        } catch (IOException e) {
            record.add("server %s: %s", id, e);
        }
    }
}
