package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A server leaves for the second time under one id; then its node is killed and starts again. */
final class ForgottenLeave extends Case {
    private static final int TIMEOUT_MILLIS = 5_000;
    private static final double DRAIN_SECONDS = 2;
    private static final double TOUCH_SECONDS = 3;

    /** The leaving server exits during this run after its drain. */
    private static final int LAST_RUN = 4;

    private final AtomicInteger runsOfLeaver = new AtomicInteger();
    private volatile Backend leaving;

    private Backend server(String id, int controlPort, boolean leaver) throws IOException {
        return new Backend(record, id, "ledger", 0, 0, controlPort, (m, attempt, out) -> {
            int runs = leaver ? runsOfLeaver.incrementAndGet() : 0;
            Thread.sleep(40);
            if (attempt.startsWith("after") && runs == LAST_RUN) {
                record.add("server s-a: exits, as it has said long ago, while it runs %s", attempt);
                leaving.end();
            } else {
                Backend.success(out, attempt, attempt.getBytes());
            }
        });
    }

    private int send(NodeProcess entry, String id) {
        try {
            Http.Message m = Http.send(entry.entryPort, "POST", "/ledger/" + id, "ledger.example",
                    Http.fields(id, TIMEOUT_MILLIS), new byte[0], TIMEOUT_MILLIS);
            record.add("client: %s answered %d", id, m.status);
            return m.status;
        } catch (IOException e) {
            record.add("client: %s ended without an answer: %s", id, e);
            return 0;
        }
    }

    @Override
    int play() throws Exception {
        store.put("op/config", config(1, List.of(route("ledger", "unsafe", 5_000))));
        NodeProcess a = node("node-a", "ledger");
        NodeProcess b = node("node-b", "ledger");
        Backend first = server("s-a", a.controlPort, true);
        server("s-b", b.controlPort, false);
        if (!a.awaitReady(20) || !b.awaitReady(20)) {
            return CANNOT_RUN;
        }
        sleep(4);
        for (int i = 0; i < 10; i++) {
            if (send(b, "before-" + i) != 200) {
                return CANNOT_RUN;
            }
        }
        // Planned restart of the server in place.
        if (!first.deregister()) {
            return CANNOT_RUN;
        }
        first.stopHeartbeats();
        record.add("server s-a: has deregistered, acknowledged by node-a");
        sleep(DRAIN_SECONDS + 0.5);
        first.end();
        record.add("server s-a: has ended");
        sleep(1);
        Backend second = server("s-a", a.controlPort, true);
        record.add("server s-a: starts again under its id, born %d (before: %d)", second.born,
                first.born);
        sleep(4);
        runsOfLeaver.set(0);
        for (int i = 0; i < 20; i++) {
            send(b, "between-" + i);
        }
        if (runsOfLeaver.get() == 0) {
            return CANNOT_RUN;
        }
        // Second planned stop. Its last heartbeat from before is delayed on the way.
        second.stopHeartbeats();
        long late = second.nextSequence();
        if (!second.deregister()) {
            return CANNOT_RUN;
        }
        leaving = second;
        double acknowledged = record.seconds();
        record.add("server s-a: has deregistered again, acknowledged by node-a; store: %s",
                store.get("azurestage/left/s-a"));
        double inTouch = acknowledged;
        if (trouble) {
            record.add("node-a: SIGKILL");
            a.kill();
            sleep(0.2);
            a.start();
            inTouch = record.seconds() + TOUCH_SECONDS;
            record.add("node-a: starts again");
            if (!a.awaitReady(10)) {
                return CANNOT_RUN;
            }
        }
        sleep(Math.max(0, acknowledged + 2 - record.seconds()));
        record.add("server s-a: a heartbeat from before arrives %.1f s late, acknowledged: %s",
                record.seconds() - acknowledged, second.heartbeat("ready", late));
        double start = Math.max(inTouch, acknowledged + DRAIN_SECONDS) + 0.3;
        sleep(Math.max(0, start - record.seconds()));
        runsOfLeaver.set(0);
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            String id = "after-" + i;
            clients.add(Backend.daemon(() -> send(b, id), id));
            sleep(0.05);
        }
        for (Thread t : clients) {
            t.join();
        }
        record.add("requests that reached s-a later than drain after the acknowledgement: %d",
                runsOfLeaver.get());
        second.end();
        return runsOfLeaver.get() > 0 ? BROKEN : HELD;
    }

    public static void main(String[] args) {
        run(new ForgottenLeave(), args[0]);
    }
}
