package review;

import java.io.IOException;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/** One node freezes for some seconds while long answers are on their way to it from another. */
final class PeerFreeze extends Case {
    /** The frozen node is a tenth of the nodes. */
    private static final int NODES = 10;

    private static final int DOWNLOADS = 16;
    private static final int BODY_BYTES = 8 << 20;
    private static final double SPREAD_SECONDS = 2;
    private static final double FREEZE_SECONDS = 3;
    private static final int TIMEOUT_MILLIS = 6_000;
    private static final int ROUTE_MILLIS = 5_000;

    /** Time after its route's timeout within which a request must have an answer. */
    private static final int SLACK_MILLIS = 500;

    private static final int SMALL_REQUESTS = 80;

    private final AtomicInteger downloads = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger atTimeout = new AtomicInteger();
    private final AtomicInteger afterSlack = new AtomicInteger();

    @Override
    int play() throws Exception {
        store.put("op/config", config(1, List.of(route("files", "safe", ROUTE_MILLIS))));
        NodeProcess a = node("node-a", "front");
        NodeProcess b = node("node-b", "files");
        for (int i = 3; i <= NODES; i++) {
            node("node-" + i, "other");
        }
        byte[] body = new byte[BODY_BYTES];
        new Backend(record, "s-b", "files", 0, 0, b.controlPort, (m, id, out) -> {
            if (id.startsWith("download")) {
                sleep(0.8 + SPREAD_SECONDS * downloads.getAndIncrement() / DOWNLOADS);
                Backend.success(out, id, body);
            } else {
                Backend.success(out, id, id.getBytes());
            }
        });
        if (!b.awaitReady(30) || !a.awaitReady(30)) {
            return CANNOT_RUN;
        }
        sleep(4);
        small(a, "check-a");
        small(b, "check-b");
        if (answered.getAndSet(0) != 2) {
            return CANNOT_RUN;
        }
        Queue<Thread> clients = new ConcurrentLinkedQueue<>();
        for (int i = 0; i < DOWNLOADS; i++) {
            String id = "download-" + i;
            clients.add(Backend.daemon(() -> download(a, id), id));
        }
        sleep(0.5);
        Thread platform = null;
        if (trouble) {
            record.add("node-a: freezes");
            a.signal("STOP");
            platform = Backend.daemon(() -> {
                try {
                    sleep(FREEZE_SECONDS);
                    a.signal("CONT");
                    record.add("node-a: wakes");
                } catch (Exception e) {
                    record.add("platform: %s", e);
                }
            }, "platform");
        }
        for (int i = 0; i < SMALL_REQUESTS; i++) {
            String id = "small-" + i;
            clients.add(Backend.daemon(() -> small(b, id), id));
            sleep(0.1);
        }
        for (Thread t : clients) {
            t.join();
        }
        if (platform != null) {
            platform.join();
        }
        record.add("clients of node-b: %d requests answered in time, %d unanswered at the route's "
                + "timeout, %d of these still unanswered half a second later", answered.get(),
                atTimeout.get(), afterSlack.get());
        return afterSlack.get() * 2 > atTimeout.get() ? BROKEN : HELD;
    }

    private void small(NodeProcess entry, String id) {
        double start = record.seconds();
        String result;
        try {
            Http.Message m = Http.send(entry.entryPort, "GET", "/files/" + id, "files.example",
                    Http.fields(id, TIMEOUT_MILLIS), new byte[0], TIMEOUT_MILLIS);
            result = "is answered " + m.status;
        } catch (IOException e) {
            result = "has no answer (" + e.getMessage() + ")";
        }
        double tookMillis = (record.seconds() - start) * 1000;
        record.add("client of %s: %s %s after %.0f ms", entry.name, id, result, tookMillis);
        if (tookMillis < ROUTE_MILLIS) {
            answered.incrementAndGet();
        } else {
            atTimeout.incrementAndGet();
            if (tookMillis > ROUTE_MILLIS + SLACK_MILLIS) {
                afterSlack.incrementAndGet();
            }
        }
    }

    private void download(NodeProcess entry, String id) {
        double start = record.seconds();
        String result;
        try {
            Http.Message m = Http.send(entry.entryPort, "GET", "/files/" + id, "files.example",
                    Http.fields(id, TIMEOUT_MILLIS), new byte[0], TIMEOUT_MILLIS);
            result = "is answered " + m.status + " with " + m.body.length + " bytes";
        } catch (IOException e) {
            result = "has no answer (" + e.getMessage() + ")";
        }
        record.add("client of %s: %s %s after %.1f s", entry.name, id, result,
                record.seconds() - start);
    }

    public static void main(String[] args) {
        run(new PeerFreeze(), args[0]);
    }
}
