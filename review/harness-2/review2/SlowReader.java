package review2;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/** A node is stopped while its clients are reading their answers. */
final class SlowReader {
    private static final int CLIENTS = 4;
    private static final int ANSWER_BYTES = 6_000_000;
    private static final long DEADLINE_MILLIS = 6_000;

    /** 6 MB take 4.5 s. */
    private static final double BYTES_PER_MILLI = 6_000_000 / 4_500.0;

    public static void main(String[] args) throws IOException {
        World.main(Path.of(args[0]), SlowReader::run);
    }

    private static boolean run(World w, boolean trouble) throws Exception {
        w.kv.operatorPut(
                "op/config",
                World.config(
                        5,
                        List.of("bahi"),
                        World.route("export", "/export/", "safe", "bahi", "6000ms")));
        NodeProc entry = w.machine("m1", "127.0.0.11", "mehsana", "bahi", World.BOUNDS);
        w.machine("m2", "127.0.0.12", "rajkot", "bahi", World.BOUNDS);
        w.awaitReady();
        Threads.sleep(4_000);

        AtomicInteger cut = new AtomicInteger();
        CountDownLatch sent = new CountDownLatch(CLIENTS);
        CountDownLatch done = new CountDownLatch(CLIENTS);
        for (int i = 0; i < CLIENTS; i++) {
            String id = "slow" + i;
            Threads.start(
                    id,
                    () -> {
                        if (!download(w, entry, id, sent)) {
                            cut.incrementAndGet();
                        }
                        done.countDown();
                    });
        }
        sent.await();
        Threads.sleep(300);
        if (trouble) {
            entry.signal("TERM");
        }
        long termNanos = System.nanoTime();
        done.await();
        w.rec.line(cut.get() + " of " + CLIENTS + " answers were cut off");
        w.rec.line(
                "the last client was done "
                        + (System.nanoTime() - termNanos) / 1_000_000
                        + " ms after the SIGTERM; grace is 6000 ms");
        return cut.get() > 0;
    }

    private static boolean download(World w, NodeProc node, String id, CountDownLatch sent) {
        long read = 0;
        long startNanos = System.nanoTime();
        try (Client c = new Client(node.entry(), 64 << 10)) {
            c.send(
                    "GET",
                    "shop.example",
                    "/export/book?ms=50&bytes=" + ANSWER_BYTES,
                    id,
                    DEADLINE_MILLIS);
            w.rec.line("client " + id + ": sent to " + node.name());
            sent.countDown();
            Http.Message head = c.receiveHead();
            int length = Integer.parseInt(head.field("content-length"));
            w.rec.line("client " + id + ": " + head.start + ", length " + length);
            byte[] buffer = new byte[16 << 10];
            while (read < length) {
                int n = c.in().read(buffer);
                if (n < 0) {
                    throw new IOException("the connection ended early");
                }
                read += n;
                long dueMillis = (long) (read / BYTES_PER_MILLI);
                Threads.sleep(dueMillis - (System.nanoTime() - startNanos) / 1_000_000);
            }
            w.rec.line("client " + id + ": complete after " + millis(startNanos) + " ms");
            return true;
        } catch (IOException e) {
            sent.countDown();
            w.rec.line(
                    "client " + id + ": CUT OFF after " + millis(startNanos) + " ms, " + read
                            + " bytes read: " + e.getMessage());
            return false;
        }
    }

    private static long millis(long sinceNanos) {
        return (System.nanoTime() - sinceNanos) / 1_000_000;
    }
}
