package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;

/** A server falls silent in the middle of an answer without a length, and starts again. */
final class SilentCrash extends Case {
    /** One of seven is less than the share of 0.15. */
    private static final int SERVERS = 7;

    private static final int TIMEOUT_MILLIS = 6_000;
    private static final double DARK_SECONDS = 2;
    private static final String FIRST = "first half of the ledger;";
    private static final String SECOND = "second half of the ledger;";

    private final AtomicReference<Backend> ran = new AtomicReference<>();

    private final class Server extends Backend {
        Server(String id, int port, int controlPort) throws IOException {
            super(SilentCrash.this.record, id, "ledger", port, 0, controlPort, null);
        }

        @Override
        void handle(Http.Message m, String attempt, Socket s, BufferedInputStream in,
                OutputStream out) throws IOException, InterruptedException {
            if (!m.startLine.contains("/ledger/book")) {
                success(out, attempt, FIRST.getBytes(StandardCharsets.UTF_8));
                return;
            }
            ran.set(this);
            out.write(("HTTP/1.1 200 OK\r\nAzurestage-Attempt-Id: " + attempt
                    + "\r\nAzurestage-Response-Signature: sig-" + attempt
                    + "\r\nConnection: close\r\n\r\n" + FIRST).getBytes(StandardCharsets.UTF_8));
            out.flush();
            SilentCrash.this.record.add("server %s: has sent the first half of the body", id);
            sleep(1);
            if (isDark()) {
                // The connection stays open and silent.
                sleep(60);
            }
            out.write(SECOND.getBytes(StandardCharsets.UTF_8));
            out.flush();
            out.close();
            SilentCrash.this.record.add("server %s: has sent the whole body", id);
        }
    }

    @Override
    int play() throws Exception {
        store.put("op/config", config(1, List.of(route("ledger", "safe", 5_000))));
        List<NodeProcess> all = new ArrayList<>();
        List<Server> servers = new ArrayList<>();
        for (int i = 1; i <= SERVERS; i++) {
            NodeProcess n = node("node-" + i, "ledger");
            all.add(n);
            servers.add(new Server("s-" + i, 0, n.controlPort));
        }
        for (NodeProcess n : all) {
            if (!n.awaitReady(30)) {
                return CANNOT_RUN;
            }
        }
        sleep(4);
        NodeProcess entry = all.get(0);
        Http.Message check = Http.send(entry.entryPort, "GET", "/ledger/check", "ledger.example",
                Http.fields("check", TIMEOUT_MILLIS), new byte[0], TIMEOUT_MILLIS);
        record.add("client: check answered %d", check.status);
        if (check.status != 200) {
            return CANNOT_RUN;
        }
        if (trouble) {
            Backend.daemon(() -> crash(all, servers), "crash");
        }
        record.add("client: sends b-1 with a time limit of %d ms", TIMEOUT_MILLIS);
        Http.Message m;
        try {
            m = Http.send(entry.entryPort, "GET", "/ledger/book", "ledger.example",
                    Http.fields("b-1", TIMEOUT_MILLIS), new byte[0], TIMEOUT_MILLIS);
        } catch (IOException e) {
            record.add("client: no answer to b-1: %s", e);
            return trouble ? HELD : CANNOT_RUN;
        }
        String text = new String(m.body, StandardCharsets.UTF_8);
        String signature = m.fields.get("Azurestage-Response-Signature");
        record.add("client: b-1 answered %d, signature %s, Content-Length %d, complete %s: %s",
                m.status, signature, m.length, m.isComplete, text);
        boolean success = m.status / 100 == 2 && m.isComplete;
        if (!trouble && !success) {
            return CANNOT_RUN;
        }
        return success && !text.equals(FIRST + SECOND) ? BROKEN : HELD;
    }

    private void crash(List<NodeProcess> all, List<Server> servers) {
        try {
            while (ran.get() == null) {
                sleep(0.01);
            }
            sleep(0.5);
            Server old = (Server) ran.get();
            record.add("server %s: crashes and falls silent", old.id);
            old.goDark();
            sleep(DARK_SECONDS);
            NodeProcess n = all.get(servers.indexOf(old));
            Server next = new Server(old.id + "-again", old.port(), n.controlPort);
            record.add("server %s: starts at the same address", next.id);
        } catch (Exception e) {
            record.add("crash: %s", e);
        }
    }

    public static void main(String[] args) {
        run(new SilentCrash(), args[0]);
    }
}
