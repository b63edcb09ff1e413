package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run to a file, one line per event. Thread-safe. */
final class Record {
    private final PrintWriter out;
    private final long startNanos = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    /** Returns the seconds since the start of the record. */
    double seconds() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    synchronized void add(String format, Object... args) {
        String line =
                String.format(Locale.ROOT, "%8.3f ", seconds())
                        + String.format(Locale.ROOT, format, args);
        out.println(line);
        System.out.println(line);
    }
}
