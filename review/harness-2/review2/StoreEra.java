package review2;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/** The store comes back from a copy, and the revisions that nodes have seen are given out again. */
final class StoreEra {
    private static final List<String> SERVICES = List.of("peshgi", "khata");
    private static final long CONFIG_MILLIS = 2_000;
    private static final long STABLE_MILLIS = 3_000;

    public static void main(String[] args) throws IOException {
        World.main(Path.of(args[0]), StoreEra::run);
    }

    private static String config(int version, String service, String timeout) {
        return World.config(
                version,
                SERVICES,
                World.route("advance", "/advance/", "unsafe", service, timeout));
    }

    /**
     * Writes r6 again, and new versions that move the route, up to the revision that nodes have seen.
     * That is one version if the system has lost one write of its own.
     */
    private static void writeAgain(World w, long seen) {
        long rev = w.kv.operatorPut("op/config", config(6, "peshgi", "4001ms"));
        w.rec.line("operator: r6 again, acknowledged at rev " + rev);
        int version = 6;
        do {
            version++;
            rev = w.kv.operatorPut("op/config", config(version, "khata", "4001ms"));
            w.rec.line(
                    "operator: r" + version + " (route moves to khata) acknowledged at rev " + rev);
        } while (rev < seen);
    }

    private static boolean run(World w, boolean trouble) throws Exception {
        w.kv.operatorPut("op/config", config(5, "peshgi", "5001ms"));
        w.machine("m1", "127.0.0.11", "mehsana", "peshgi", World.BOUNDS);
        w.machine("m2", "127.0.0.12", "rajkot", "khata", World.BOUNDS);
        w.machine("m3", "127.0.0.13", "patan", "peshgi", World.BOUNDS);
        w.awaitReady();
        Threads.sleep(4_000);
        w.kv.takeCopy();

        // A machine is added: its node writes its entry.
        w.machine("m4", "127.0.0.14", "amreli", "khata", World.BOUNDS);
        w.awaitReady();
        long seen = w.kv.operatorPut("op/config", config(6, "peshgi", "4001ms"));
        w.rec.line("operator: r6 acknowledged at rev " + seen);
        Threads.sleep(1_500);

        Runnable operatorWrites = () -> writeAgain(w, trouble ? seen : 0);
        if (trouble) {
            w.kv.leave();
            Threads.sleep(1_500);
            w.kv.comeBack(operatorWrites);
        } else {
            operatorWrites.run();
        }
        Threads.sleep(CONFIG_MILLIS + STABLE_MILLIS + 1_000);
        w.rec.line("config (2 s) after the last version and stableWindow (3 s) after the drill are over");

        int old = 0;
        int asked = 0;
        for (int round = 0; round < 10; round++) {
            for (NodeProc n : w.nodes) {
                asked++;
                old += isRunByPeshgi(w, n, "r" + round + n.name()) ? 1 : 0;
            }
            Threads.sleep(1_000);
        }
        w.rec.line(old + " of " + asked + " requests were run by peshgi, as only r6 and older allow");
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
