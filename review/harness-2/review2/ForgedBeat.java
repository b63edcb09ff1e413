package review2;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/** After all processes were killed, a heartbeat of another writer comes to each node. */
final class ForgedBeat {
    private static final long RECOVER_MILLIS = 15_000;
    private static final int REQUESTS = 40;

    public static void main(String[] args) throws IOException {
        World.main(Path.of(args[0]), ForgedBeat::run);
    }

    private static boolean run(World w, boolean trouble) throws Exception {
        w.kv.operatorPut(
                "op/config",
                World.config(
                        5,
                        List.of("peshgi"),
                        World.route("advance", "/advance/", "unsafe", "peshgi", "5001ms")));
        w.machine("m1", "127.0.0.11", "mehsana", "peshgi", World.BOUNDS);
        w.machine("m2", "127.0.0.12", "rajkot", "peshgi", World.BOUNDS);
        w.awaitReady();
        Threads.sleep(3_000);
        int before = served(w, "before");

        for (NodeProc n : w.nodes) {
            n.signal("KILL");
        }
        Threads.sleep(1_000);
        for (NodeProc n : w.nodes) {
            n.start();
        }
        w.rec.line("the machines are back");
        long backNanos = System.nanoTime();
        Threads.sleep(4_000);
        w.rec.line(served(w, "between") + " of " + REQUESTS + " served before the heartbeats of the other writer");
        if (trouble) {
            for (int i = 0; i < w.nodes.size(); i++) {
                w.apps.get(i).beatOfAnotherWriter();
            }
        }
        long elapsedMillis = (System.nanoTime() - backNanos) / 1_000_000;
        Threads.sleep(RECOVER_MILLIS + 500 - elapsedMillis);
        int after = served(w, "after");
        w.rec.line(
                "served: " + before + " of " + REQUESTS + " before the fault, " + after + " of " + REQUESTS
                        + " later than recover (15 s) after the machines were back");
        return before * 4 >= REQUESTS && after * 4 < REQUESTS;
    }

    private static int served(World w, String name) {
        int served = 0;
        for (int i = 0; i < REQUESTS; i++) {
            NodeProc node = w.nodes.get(i % w.nodes.size());
            String id = name + i;
            try (Client c = new Client(node.entry(), 0)) {
                c.send("POST", "shop.example", "/advance/pay?ms=5&bytes=20", id, 2_000);
                Http.Message m = c.receive();
                w.rec.line("client: " + id + " at " + node.name() + ": " + m.start + (m.status() == 200 ? "" : " " + m.text().trim()));
                served += m.status() == 200 ? 1 : 0;
            } catch (IOException e) {
                w.rec.line("client: " + id + " at " + node.name() + ": " + e.getMessage());
            }
            Threads.sleep(50);
        }
        return served;
    }
}
