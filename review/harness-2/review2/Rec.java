package review2;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run to the record of a case. */
final class Rec implements AutoCloseable {
    private final PrintWriter mOut;
    private final long mStartNanos = System.nanoTime();

    Rec(Path file) throws IOException {
        mOut = new PrintWriter(Files.newBufferedWriter(file));
    }

    synchronized void line(String text) {
        double seconds = (System.nanoTime() - mStartNanos) / 1e9;
        String line = String.format(Locale.ROOT, "%8.3f %s", seconds, text);
        mOut.println(line);
        mOut.flush();
        System.out.println(line);
    }

    @Override
    public synchronized void close() {
        mOut.close();
    }
}
