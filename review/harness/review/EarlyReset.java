package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** A server answers a long request early and without a length, and breaks the answer off. */
final class EarlyReset extends Case {
    private static final int TIMEOUT_MILLIS = 5_000;
    private static final int BODY_BYTES = 24 << 20;
    private static final String FIRST = "first half of the receipt;";
    private static final String SECOND = "second half of the receipt;";

    private final class Server extends Backend {
        Server(String id, int controlPort) throws IOException {
            super(EarlyReset.this.record, id, "ledger", 0, 0, controlPort, null);
        }

        @Override
        boolean takesBody() {
            return false;
        }

        @Override
        void handle(Http.Message m, String attempt, Socket s, BufferedInputStream in,
                OutputStream out) throws IOException, InterruptedException {
            if (m.length <= 0) {
                success(out, attempt, FIRST.getBytes(StandardCharsets.UTF_8));
                return;
            }
            out.write(("HTTP/1.1 200 OK\r\nAzurestage-Attempt-Id: " + attempt
                    + "\r\nAzurestage-Response-Signature: sig-" + attempt
                    + "\r\nConnection: close\r\n\r\n" + FIRST).getBytes(StandardCharsets.UTF_8));
            out.flush();
            EarlyReset.this.record.add("server %s: has sent the first half of the body", id);
            sleep(0.5);
            if (trouble) {
                s.setSoLinger(true, 0);
                s.close();
                EarlyReset.this.record.add("server %s: has reset the connection", id);
                return;
            }
            in.skipNBytes(m.length);
            out.write(SECOND.getBytes(StandardCharsets.UTF_8));
            out.flush();
            s.close();
            EarlyReset.this.record.add("server %s: has sent the whole body", id);
        }
    }

    @Override
    int play() throws Exception {
        store.put("op/config", config(1, List.of(route("ledger", "unsafe", 5_000))));
        NodeProcess a = node("node-a", "ledger");
        new Server("s-1", a.controlPort);
        if (!a.awaitReady(20)) {
            return CANNOT_RUN;
        }
        sleep(4);
        Http.Message check = Http.send(a.entryPort, "POST", "/ledger/check", "ledger.example",
                Http.fields("check", TIMEOUT_MILLIS), new byte[0], TIMEOUT_MILLIS);
        record.add("client: check answered %d", check.status);
        if (check.status != 200) {
            return CANNOT_RUN;
        }
        record.add("client: sends p-1 with a body of %d bytes", BODY_BYTES);
        Http.Message m;
        try {
            m = Http.send(a.entryPort, "POST", "/ledger/post", "ledger.example",
                    Http.fields("p-1", TIMEOUT_MILLIS), new byte[BODY_BYTES], TIMEOUT_MILLIS);
        } catch (IOException e) {
            record.add("client: no answer to p-1: %s", e);
            return trouble ? HELD : CANNOT_RUN;
        }
        String text = new String(m.body, StandardCharsets.UTF_8);
        record.add("client: p-1 answered %d, signature %s, Content-Length %d, complete %s: %s",
                m.status, m.fields.get("Azurestage-Response-Signature"), m.length, m.isComplete,
                text);
        boolean success = m.status / 100 == 2 && m.isComplete;
        if (!trouble && !success) {
            return CANNOT_RUN;
        }
        return success && !text.equals(FIRST + SECOND) ? BROKEN : HELD;
    }

    public static void main(String[] args) {
        run(new EarlyReset(), args[0]);
    }
}
