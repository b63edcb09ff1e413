package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;

/** A client reads an answer slowly while its node gets SIGTERM. */
final class CutAtStop extends Case {
    private static final int BODY_BYTES = 24 << 20;
    private static final int TIMEOUT_MILLIS = 8_000;
    private static final int CHUNK = 64 << 10;

    /** Time in which the client reads the whole body. */
    private static final double READ_SECONDS = 6.5;

    @Override
    int play() throws Exception {
        store.put("op/config", config(1, List.of(route("files", "safe", TIMEOUT_MILLIS))));
        NodeProcess a = node("node-a", "files");
        byte[] body = new byte[BODY_BYTES];
        new Backend(record, "s-1", "files", 0, 0, a.controlPort,
                (m, id, out) -> Backend.success(out, id, body));
        if (!a.awaitReady(20)) {
            return CANNOT_RUN;
        }
        sleep(4);
        Http.Message small = Http.send(a.entryPort, "GET", "/files/check", "files.example",
                Http.fields("check", TIMEOUT_MILLIS), new byte[0], TIMEOUT_MILLIS);
        record.add("client: check answered %d, %d bytes", small.status, small.body.length);
        if (small.status != 200) {
            return CANNOT_RUN;
        }
        if (trouble) {
            Backend.daemon(() -> {
                try {
                    sleep(0.4);
                    record.add("platform: SIGTERM to node-a");
                    a.signal("TERM");
                    a.awaitEnd(6);
                    record.add("platform: node-a has ended: %s", !a.isAlive());
                } catch (Exception e) {
                    record.add("platform: %s", e);
                }
            }, "platform");
        }
        return readSlowly(a);
    }

    private int readSlowly(NodeProcess a) throws IOException, InterruptedException {
        long read = 0;
        boolean complete = false;
        double sent = record.seconds();
        double ended;
        String end = "complete";
        try (Socket s = new Socket()) {
            s.setReceiveBufferSize(CHUNK);
            s.connect(new InetSocketAddress("127.0.0.1", a.entryPort), 1000);
            s.setSoTimeout(3_000);
            record.add("client: sends d-1 with a time limit of %d ms", TIMEOUT_MILLIS);
            s.getOutputStream().write(Http.request("GET", "/files/d-1", "files.example",
                    Http.fields("d-1", TIMEOUT_MILLIS), new byte[0]));
            BufferedInputStream in = new BufferedInputStream(s.getInputStream(), CHUNK);
            Http.Message head = Http.readHead(in);
            record.add("client: d-1 status %d, Content-Length %d, signature %s", head.status,
                    head.length, head.fields.get("Azurestage-Response-Signature"));
            long start = System.nanoTime();
            byte[] chunk = new byte[CHUNK];
            while (read < head.length) {
                int n = in.read(chunk);
                if (n < 0) {
                    end = "end of connection";
                    break;
                }
                read += n;
                double due = READ_SECONDS * read / head.length;
                double now = (System.nanoTime() - start) / 1e9;
                if (due > now) {
                    sleep(due - now);
                }
            }
            complete = read == head.length;
        } catch (IOException e) {
            end = e.toString();
        }
        ended = record.seconds() - sent;
        record.add("client: d-1 ends after %.3f s with %d of %d bytes: %s", ended, read,
                BODY_BYTES, end);
        return complete ? HELD : BROKEN;
    }

    public static void main(String[] args) {
        run(new CutAtStop(), args[0]);
    }
}
