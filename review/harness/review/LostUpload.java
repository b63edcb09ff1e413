package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** One node freezes for a moment while long requests are on their way to it from others. */
final class LostUpload extends Case {
    /** Sizes of the bodies, one for each round. */
    private static final int[] BODY_BYTES = {2_633_000, 1_850_000, 2_110_000};

    /** Bytes that the clients send in a round. */
    private static final int TOTAL_BYTES = 116_000_000;

    /** The frozen node is a tenth of the nodes. */
    private static final int NODES = 10;

    private static final double MAX_FREEZE_SECONDS = 1.2;
    private static final int TIMEOUT_MILLIS = 8_000;
    private static final int PROMPT_MILLIS = 150;

    private final AtomicInteger same = new AtomicInteger();
    private final AtomicInteger changed = new AtomicInteger();

    private static byte[] body(String id) {
        int service = id.charAt(id.indexOf('-') + 1) - '0';
        return Bodies.of(id, id.startsWith("check") ? 10 : BODY_BYTES[service]);
    }

    @Override
    int play() throws Exception {
        store.put("op/config",
                config(1, List.of(route("ledger", "unsafe", TIMEOUT_MILLIS))));
        NodeProcess a = node("node-a", "front");
        NodeProcess b = node("node-b", "ledger");
        while (nodes.size() < NODES) {
            node("node-" + nodes.size(), "other");
        }
        new Backend(record, "s-b", "ledger", 0, 0, b.controlPort, (m, id, out) -> {
            boolean isSame = Arrays.equals(m.body, body(id));
            (isSame ? same : changed).incrementAndGet();
            if (!isSame) {
                record.add("server s-b: runs %s with another body: %d bytes, not the client's %d",
                        id, m.body.length, body(id).length);
            }
            Backend.success(out, id, new byte[0]);
        });
        if (!a.awaitReady(30) || !b.awaitReady(30)) {
            return CANNOT_RUN;
        }
        sleep(4);
        for (int round = 0; round < BODY_BYTES.length && changed.get() == 0; round++) {
            if (!playRound(a, b, round)) {
                return CANNOT_RUN;
            }
        }
        record.add("requests run: %d with the client's body, %d with another", same.get(),
                changed.get());
        return changed.get() > 0 ? BROKEN : same.get() == 0 ? CANNOT_RUN : HELD;
    }

    private boolean playRound(NodeProcess a, NodeProcess b, int round) throws Exception {
        List<byte[]> bodies = new ArrayList<>();
        for (int k = 0; k < TOTAL_BYTES / BODY_BYTES[round]; k++) {
            bodies.add(body("up-" + round + "-" + k));
        }
        int before = same.get();
        upload(a, "check-" + round, body("check-" + round), new CountDownLatch(1));
        if (same.get() != before + 1) {
            return false;
        }
        if (trouble) {
            record.add("node-b: freezes");
            b.signal("STOP");
        }
        CountDownLatch sent = new CountDownLatch(1);
        Thread clients = Backend.daemon(() -> uploads(a, round, bodies, sent), "clients");
        if (trouble) {
            sent.await((long) (MAX_FREEZE_SECONDS * 1000), TimeUnit.MILLISECONDS);
            b.signal("CONT");
            record.add("node-b: wakes");
        }
        clients.join();
        sleep(3);
        return true;
    }

    /** Sends one request after the other, until the node is slow to react. */
    private void uploads(NodeProcess entry, int round, List<byte[]> bodies, CountDownLatch end) {
        try {
            List<Thread> all = new ArrayList<>();
            for (int k = 0; k < bodies.size(); k++) {
                String id = "up-" + round + "-" + k;
                byte[] body = bodies.get(k);
                CountDownLatch sent = new CountDownLatch(1);
                all.add(Backend.daemon(() -> upload(entry, id, body, sent), id));
                sent.await();
                try {
                    Http.send(entry.readyPort, "GET", "/-/ready", "node", List.of(), new byte[0],
                            PROMPT_MILLIS);
                } catch (IOException e) {
                    record.add("clients: send no more after %d requests, node-a is slow", k + 1);
                    break;
                }
            }
            end.countDown();
            for (Thread t : all) {
                t.join();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void upload(NodeProcess entry, String id, byte[] body, CountDownLatch sent) {
        double start = record.seconds();
        try (Socket s = Http.connect(entry.entryPort)) {
            s.setSoTimeout(TIMEOUT_MILLIS);
            s.getOutputStream().write(Http.request("POST", "/ledger/" + id, "ledger.example",
                    Http.fields(id, TIMEOUT_MILLIS), body));
            sent.countDown();
            Http.Message m = Http.read(new BufferedInputStream(s.getInputStream()), true);
            record.add("client of %s: %s answered %d after %.1f s", entry.name, id, m.status,
                    record.seconds() - start);
        } catch (IOException e) {
            record.add("client of %s: %s has no answer after %.1f s (%s)", entry.name, id,
                    record.seconds() - start, e.getMessage());
        } finally {
            sent.countDown();
        }
    }

    public static void main(String[] args) {
        run(new LostUpload(), args[0]);
    }
}
