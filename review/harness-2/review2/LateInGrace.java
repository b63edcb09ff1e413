package review2;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/** A node with a grace of 10 s is stopped; requests that it takes then would end within it. */
final class LateInGrace {
    /** Bounds of the deployment baladh-ledger-large. */
    private static final String BOUNDS =
            World.BOUNDS
                    .replace("\"grace\":\"6s\"", "\"grace\":\"10s\"")
                    .replace("\"drain\":\"2000ms\"", "\"drain\":\"3000ms\"")
                    .replace("\"config\":\"2000ms\"", "\"config\":\"3000ms\"")
                    .replace("\"stableWindow\":\"3000ms\"", "\"stableWindow\":\"4000ms\"");

    private static final int CLIENTS = 4;
    private static final long GRACE_MILLIS = 10_000;
    private static final long SENT_AFTER_MILLIS = 4_600;
    private static final long WORK_MILLIS = 4_700;

    public static void main(String[] args) throws IOException {
        World.main(Path.of(args[0]), LateInGrace::run);
    }

    private static boolean run(World w, boolean trouble) throws Exception {
        w.kv.operatorPut(
                "op/config",
                World.config(
                        5,
                        List.of("peshgi", "bahi"),
                        World.route("advance", "/advance/", "unsafe", "peshgi", "5001ms"),
                        World.route("export", "/export/", "safe", "bahi", "5001ms")));
        NodeProc entry = w.machine("m1", "127.0.0.11", "mehsana", "bahi", BOUNDS);
        w.machine("m2", "127.0.0.12", "rajkot", "peshgi", BOUNDS);
        w.awaitReady();
        Threads.sleep(5_000);

        AtomicInteger cut = new AtomicInteger();
        CountDownLatch open = new CountDownLatch(CLIENTS);
        CountDownLatch term = new CountDownLatch(1);
        CountDownLatch done = new CountDownLatch(CLIENTS);
        for (int i = 0; i < CLIENTS; i++) {
            String id = "late" + i;
            Threads.start(
                    id,
                    () -> {
                        if (!post(w, entry, id, open, term)) {
                            cut.incrementAndGet();
                        }
                        done.countDown();
                    });
        }
        open.await();
        if (trouble) {
            entry.signal("TERM");
        }
        long termNanos = System.nanoTime();
        term.countDown();
        Threads.start(
                "grace",
                () -> {
                    Threads.sleep(GRACE_MILLIS);
                    if (trouble && entry.isRunning()) {
                        w.rec.line("grace is over: SIGKILL");
                        entry.kill();
                    }
                });
        done.await();
        w.rec.line(
                cut.get() + " of " + CLIENTS + " requests got no answer; the last client was done "
                        + (System.nanoTime() - termNanos) / 1_000_000
                        + " ms after the SIGTERM; grace is " + GRACE_MILLIS + " ms");
        return cut.get() > 0;
    }

    private static boolean post(
            World w, NodeProc node, String id, CountDownLatch open, CountDownLatch term) {
        try (Client c = new Client(node.entry(), 0)) {
            w.rec.line("client " + id + ": connected to " + node.name());
            open.countDown();
            term.await();
            Threads.sleep(SENT_AFTER_MILLIS);
            c.send(
                    "POST",
                    "shop.example",
                    "/advance/pay?ms=" + WORK_MILLIS + "&bytes=300",
                    id,
                    5_002);
            w.rec.line("client " + id + ": sent");
            Http.Message m = c.receive();
            w.rec.line("client " + id + ": answer " + m.start + " " + m.text().trim().length());
            return true;
        } catch (IOException | InterruptedException e) {
            open.countDown();
            w.rec.line("client " + id + ": NO ANSWER: " + e.getMessage());
            return false;
        }
    }
}
