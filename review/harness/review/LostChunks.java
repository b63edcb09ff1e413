package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/** One node freezes for some seconds while long answers are on their way to it from another. */
final class LostChunks extends Case {
    /** The frozen node is a tenth of the nodes. */
    private static final int NODES = 10;

    /** Sizes of the answers of the three services. */
    private static final int[] BODY_BYTES = {1_070_000, 1_330_000, 1_590_000};

    /** Bytes of the answers of each service together. */
    private static final int TOTAL_BYTES = 125_000_000;

    /** Pause between two answers. */
    private static final double GAP_SECONDS = 0.005;

    private static final double FREEZE_SECONDS = 3.5;
    private static final int TIMEOUT_MILLIS = 8_000;
    private static final int PROMPT_MILLIS = 300;

    private final CountDownLatch frozen = new CountDownLatch(1);
    private final CountDownLatch awake = new CountDownLatch(1);
    private final AtomicInteger whole = new AtomicInteger();
    private final AtomicInteger wrong = new AtomicInteger();
    private final AtomicInteger others = new AtomicInteger();

    private static byte[] body(int service, String id) {
        return Bodies.of(id, id.startsWith("check") ? 10 : BODY_BYTES[service]);
    }

    /**
     * Answers one download after the other. While its node does not react, the server is slow: the
     * answers that are left come after the freeze.
     */
    private final class Files extends Backend {
        private final int service;
        private final NodeProcess node;
        private boolean isSlow;
        private int sent;

        Files(int service, NodeProcess node) throws IOException {
            super(LostChunks.this.record, "s-" + service, "files-" + service, 0, 0,
                    node.controlPort, null);
            this.service = service;
            this.node = node;
        }

        @Override
        void handle(Http.Message m, String attempt, Socket s, BufferedInputStream in,
                OutputStream out) throws IOException, InterruptedException {
            byte[] body = body(service, attempt);
            if (!attempt.startsWith("check")) {
                frozen.await();
                if (sendInTurn(out, attempt, body)) {
                    return;
                }
                awake.await();
                sleep(1.5);
            }
            synchronized (this) {
                success(out, attempt, body);
                sleep(GAP_SECONDS);
            }
        }

        private synchronized boolean sendInTurn(OutputStream out, String attempt, byte[] body)
                throws IOException, InterruptedException {
            if (!isSlow) {
                try {
                    Http.send(node.readyPort, "GET", "/-/ready", "node", List.of(), new byte[0],
                            PROMPT_MILLIS);
                } catch (IOException e) {
                    isSlow = true;
                    LostChunks.this.record.add("server %s: is slow from now on, %d answers sent",
                            id, sent);
                }
            }
            if (!isSlow) {
                success(out, attempt, body);
                sent++;
                sleep(GAP_SECONDS);
            }
            return !isSlow;
        }
    }

    @Override
    int play() throws Exception {
        List<String> routes = new ArrayList<>();
        for (int i = 0; i < BODY_BYTES.length; i++) {
            routes.add(route("files-" + i, "safe", TIMEOUT_MILLIS));
        }
        store.put("op/config", config(1, routes));
        NodeProcess a = node("node-a", "front");
        for (int i = 0; i < BODY_BYTES.length; i++) {
            new Files(i, node("node-" + i, "files-" + i));
        }
        while (nodes.size() < NODES) {
            node("node-" + nodes.size(), "other");
        }
        for (NodeProcess n : nodes.subList(0, BODY_BYTES.length + 1)) {
            if (!n.awaitReady(30)) {
                return CANNOT_RUN;
            }
        }
        sleep(4);
        for (int i = 0; i < BODY_BYTES.length; i++) {
            download(a, i, "check-" + i);
        }
        if (whole.getAndSet(0) != BODY_BYTES.length) {
            return CANNOT_RUN;
        }
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < BODY_BYTES.length; i++) {
            int service = i;
            for (int k = 0; k < TOTAL_BYTES / BODY_BYTES[service]; k++) {
                String id = "download-" + i + "-" + k;
                clients.add(Backend.daemon(() -> download(a, service, id), id));
            }
        }
        sleep(0.6);
        if (trouble) {
            record.add("node-a: freezes");
            a.signal("STOP");
            frozen.countDown();
            sleep(FREEZE_SECONDS);
            a.signal("CONT");
            record.add("node-a: wakes");
        }
        frozen.countDown();
        awake.countDown();
        for (Thread t : clients) {
            t.join();
        }
        record.add("answers: %d whole, %d successes with another body than the server's, %d others",
                whole.get(), wrong.get(), others.get());
        return wrong.get() > 0 ? BROKEN : whole.get() == 0 ? CANNOT_RUN : HELD;
    }

    private void download(NodeProcess entry, int service, String id) {
        double start = record.seconds();
        try {
            Http.Message m = Http.send(entry.entryPort, "GET", "/files-" + service + "/" + id,
                    "files-" + service + ".example",
                    Http.fields(id, TIMEOUT_MILLIS), new byte[0], TIMEOUT_MILLIS);
            boolean success = m.status / 100 == 2 && m.isComplete
                    && m.fields.containsKey("Azurestage-Response-Signature");
            boolean same = success && Arrays.equals(m.body, body(service, id));
            (same ? whole : success ? wrong : others).incrementAndGet();
            record.add("client: %s answered %d after %.1f s, Content-Length %d%s", id, m.status,
                    record.seconds() - start, m.length, !success ? "" : same
                            ? ", the server's body"
                            : ", NOT the server's body of " + BODY_BYTES[service] + " bytes");
        } catch (IOException e) {
            others.incrementAndGet();
            record.add("client: %s has no answer after %.1f s (%s)", id,
                    record.seconds() - start, e.getMessage());
        }
    }

    public static void main(String[] args) {
        run(new LostChunks(), args[0]);
    }
}
