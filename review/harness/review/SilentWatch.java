package review;

import java.io.IOException;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** One open connection to the store falls silent, and then the configuration changes. */
final class SilentWatch extends Case {
    private static final int TIMEOUT_MILLIS = 5_000;
    private static final double CONFIG_SECONDS = 2;
    private static final double TOUCH_SECONDS = 3;
    private static final double LAST_SECONDS = 8;

    private final Set<String> ranAtOld = ConcurrentHashMap.newKeySet();
    private final Set<String> ranAtNew = ConcurrentHashMap.newKeySet();

    private static String route(String service) {
        return """
                {"name":"r-advance","host":"desk.example","prefix":"/advance/",\
                "routeType":"unsafe","timeout":"5000ms","targetLatency":"1200ms","priority":0,\
                "service":"%s","maxAttempts":2}""".formatted(service);
    }

    private void server(String id, String service, NodeProcess n, Set<String> ran)
            throws IOException {
        new Backend(record, id, service, 0, 0, n.controlPort, (m, attempt, out) -> {
            ran.add(attempt);
            Thread.sleep(20);
            Backend.success(out, attempt, attempt.getBytes());
        });
    }

    private int send(NodeProcess entry, String id) {
        try {
            Http.Message m = Http.send(entry.entryPort, "POST", "/advance/" + id, "desk.example",
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
        store.put("op/config", config(1, List.of(route("old"))));
        Proxy p = new Proxy(store.port());
        NodeProcess a = new NodeProcess(temporary, "node-a", "front", p.port());
        nodes.add(a);
        a.start();
        NodeProcess b = node("node-b", "old");
        NodeProcess c = node("node-c", "new");
        server("s-front", "front", a, ConcurrentHashMap.newKeySet());
        server("s-old", "old", b, ranAtOld);
        server("s-new", "new", c, ranAtNew);
        for (NodeProcess n : nodes) {
            if (!n.awaitReady(20)) {
                return CANNOT_RUN;
            }
        }
        sleep(4);
        if (send(a, "check") != 200) {
            return CANNOT_RUN;
        }
        // Waits for the start of a poll of the watch.
        Proxy.Link watch = null;
        while (watch == null) {
            watch = p.find(l -> l.lastRequest.startsWith("GET /-/kv-watch?prefix=op")
                            && System.nanoTime() - l.lastRequestNanos < 7_000_000_000L)
                    .stream().findFirst().orElse(null);
            sleep(0.05);
        }
        if (trouble) {
            record.add("network: one of the %d connections of node-a to the store falls silent",
                    p.connections());
            watch.silence();
        }
        double end = record.seconds() + TOUCH_SECONDS + 0.2;
        int n = 0;
        while (record.seconds() < end) {
            send(a, "before-" + n++);
            sleep(0.1);
        }
        store.put("op/config", config(2, List.of(route("new"))));
        double acknowledged = record.seconds();
        record.add("operator: r2 moves the route from old to new, acknowledged by the store");
        while (record.seconds() < acknowledged + CONFIG_SECONDS + 0.2) {
            send(a, "change-" + n++);
            sleep(0.1);
        }
        ranAtOld.clear();
        ranAtNew.clear();
        while (record.seconds() < acknowledged + LAST_SECONDS) {
            send(a, "after-" + n++);
            sleep(0.1);
        }
        record.add("sent later than config after the acknowledgement: %d run by old, %d by new",
                ranAtOld.size(), ranAtNew.size());
        if (ranAtOld.isEmpty() && ranAtNew.isEmpty()) {
            return CANNOT_RUN;
        }
        return ranAtOld.isEmpty() ? HELD : BROKEN;
    }

    public static void main(String[] args) {
        run(new SilentWatch(), args[0]);
    }
}
