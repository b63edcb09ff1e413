package review2;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/** Idle connections to the store go silent, and the configuration changes. */
final class SilentWatch {
    private static final List<String> SERVICES = List.of("peshgi", "khata");
    private static final long IDLE_MILLIS = 3_000;

    /** The longer of `config` and `stableWindow`, with a margin. */
    private static final long BOUND_MILLIS = 3_500;

    public static void main(String[] args) throws IOException {
        World.main(Path.of(args[0]), SilentWatch::run);
    }

    private static String config(int version, String service) {
        return World.config(
                version,
                SERVICES,
                World.route("advance", "/advance/", "unsafe", service, "5001ms"));
    }

    private static boolean run(World w, boolean trouble) throws Exception {
        w.kv.operatorPut("op/config", config(5, "peshgi"));
        w.machine("m1", "127.0.0.11", "mehsana", "peshgi", World.BOUNDS);
        w.machine("m2", "127.0.0.12", "rajkot", "khata", World.BOUNDS);
        w.machine("m3", "127.0.0.13", "patan", "peshgi", World.BOUNDS);
        w.machine("m4", "127.0.0.14", "amreli", "khata", World.BOUNDS);
        w.awaitReady();
        Threads.sleep(5_000);

        if (trouble) {
            int silent = w.kv.silence(IDLE_MILLIS);
            w.rec.line("store: " + silent + " connections that were idle for 3 s go silent");
        }
        Threads.sleep(500);
        long rev = w.kv.operatorPut("op/config", config(6, "khata"));
        w.rec.line("operator: r6 (route moves to khata) acknowledged at rev " + rev);
        Threads.sleep(BOUND_MILLIS);
        w.rec.line("config (2 s) after r6 and stableWindow (3 s) after the silence are over");

        int old = 0;
        int asked = 0;
        for (int round = 0; round < 12; round++) {
            for (NodeProc n : w.nodes) {
                asked++;
                old += isRunByPeshgi(w, n, "r" + round + n.name()) ? 1 : 0;
            }
            Threads.sleep(500);
        }
        w.rec.line(old + " of " + asked + " requests were run by peshgi, as only r5 allows");
        return old > 0;
    }

    private static boolean isRunByPeshgi(World w, NodeProc node, String id) throws IOException {
        try (Client c = new Client(node.entry(), 0)) {
            c.send("POST", "shop.example", "/advance/pay?ms=5&bytes=20", id, 4_000);
            Http.Message m = c.receive();
            String signature = m.field("azurestage-response-signature");
            w.rec.line("client: " + id + " at " + node.name() + ": " + m.start + " " + signature);
            return signature.startsWith("peshgi");
        }
    }
}
