package review2;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/** The store forgets in a drill that a server has left, and the node beside the server restarts. */
final class EraDrain {
    private static final long DRAIN_MILLIS = 2_000;
    private static final long STABLE_MILLIS = 3_000;

    public static void main(String[] args) throws IOException {
        World.main(Path.of(args[0]), EraDrain::run);
    }

    private static boolean run(World w, boolean trouble) throws Exception {
        w.kv.operatorPut(
                "op/config",
                World.config(
                        5,
                        List.of("peshgi", "khata"),
                        World.route("advance", "/advance/", "unsafe", "peshgi", "5001ms")));
        NodeProc left = w.machine("m1", "127.0.0.11", "mehsana", "peshgi", World.BOUNDS);
        NodeProc entry = w.machine("m2", "127.0.0.12", "rajkot", "khata", World.BOUNDS);
        w.machine("m3", "127.0.0.13", "patan", "peshgi", World.BOUNDS);
        App server = w.apps.get(0);
        w.awaitReady();
        Threads.sleep(4_000);

        w.kv.takeCopy();
        String late = server.heartbeat();
        Threads.sleep(1_000);
        if (!server.deregister()) {
            throw new IllegalStateException("the deregistration was not acknowledged");
        }
        long acknowledgedNanos = System.nanoTime();
        Threads.sleep(500);
        if (trouble) {
            w.kv.leave();
            Threads.sleep(1_000);
            w.kv.comeBack(() -> {});
        } else {
            Threads.sleep(1_000);
        }
        Threads.sleep(300);
        left.signal("KILL");
        Threads.sleep(200);
        left.start();
        Threads.sleep(1_000);
        server.beatLate(late);
        Threads.sleep(STABLE_MILLIS + 500);
        long sinceMillis = (System.nanoTime() - acknowledgedNanos) / 1_000_000;
        w.rec.line(
                sinceMillis + " ms after the acknowledgement; drain is " + DRAIN_MILLIS
                        + " ms; all machines are in touch");

        int reached = 0;
        int asked = 0;
        for (int i = 0; i < 20; i++) {
            asked++;
            reached += isRunByLeft(w, entry, "r" + i) ? 1 : 0;
            Threads.sleep(100);
        }
        w.rec.line(reached + " of " + asked + " requests reached the server that had left");
        return reached > 0;
    }

    private static boolean isRunByLeft(World w, NodeProc node, String id) throws IOException {
        try (Client c = new Client(node.entry(), 0)) {
            c.send("POST", "shop.example", "/advance/pay?ms=5&bytes=20", id, 4_000);
            Http.Message m = c.receive();
            String server = m.field("server-name");
            w.rec.line("client: " + id + " at " + node.name() + ": " + m.start + " from " + server);
            return server.equals("i-m1");
        }
    }
}
