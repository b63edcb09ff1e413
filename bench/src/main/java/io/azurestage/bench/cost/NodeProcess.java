package io.azurestage.bench.cost;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** A platform node in a separate process, started with the command of the deploy file. */
final class NodeProcess implements AutoCloseable {
    private static final String RUN_PREFIX = "run = \"";
    private static final Duration EXIT_LIMIT = Duration.ofSeconds(10);

    /** Unit of CPU times in /proc (USER_HZ), which is 100 on all builds of Linux. */
    private static final double TICKS_PER_SECOND = 100;

    /** Columns of /proc/PID/stat, counted after the command name: user and kernel CPU time. */
    private static final int USER_COLUMN = 11;

    private static final int KERNEL_COLUMN = 12;

    private final Process mProcess;
    private final Path mOut;

    /**
     * Resource use of a process since its start.
     *
     * @param cpuSeconds user and kernel CPU time
     * @param switches voluntary context switches of all threads
     * @param logLines lines written to stdout
     * @param residentKib peak resident memory
     */
    record Usage(double cpuSeconds, long switches, long logLines, long residentKib) {
        Usage minus(Usage before) {
            return new Usage(
                    cpuSeconds - before.cpuSeconds,
                    switches - before.switches,
                    logLines - before.logLines,
                    residentKib);
        }

        Usage plus(Usage other) {
            return new Usage(
                    cpuSeconds + other.cpuSeconds,
                    switches + other.switches,
                    logLines + other.logLines,
                    residentKib + other.residentKib);
        }
    }

    NodeProcess(Path folder, String name, String settings, List<String> extraFlags) {
        mOut = folder.resolve(name + ".out");
        try {
            Path file = folder.resolve(name + ".json");
            Files.writeString(file, settings);
            ProcessBuilder b = new ProcessBuilder(command(extraFlags));
            Map<String, String> environment = b.environment();
            environment.put("AZURESTAGE_SETTINGS", file.toString());
            File err = folder.resolve(name + ".err").toFile();
            mProcess = b.redirectOutput(mOut.toFile()).redirectError(err).start();
        } catch (IOException e) {
            throw new IllegalStateException("cannot start node " + name + ": " + e, e);
        }
    }

    private static List<String> command(List<String> extraFlags) throws IOException {
        Path deploy = Path.of("deploy", "system.toml");
        for (String line : Files.readAllLines(deploy)) {
            if (line.startsWith(RUN_PREFIX)) {
                String run = line.substring(RUN_PREFIX.length(), line.lastIndexOf('"'));
                List<String> words = new ArrayList<>(List.of(run.split(" ")));
                words.addAll(1, extraFlags);
                return words;
            }
        }
        throw new IllegalStateException(deploy + " has no line that begins with " + RUN_PREFIX);
    }

    Usage usage() {
        Path proc = Path.of("/proc", Long.toString(mProcess.pid()));
        try {
            String stat = Files.readString(proc.resolve("stat"));
            String[] columns = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
            double ticks =
                    Double.parseDouble(columns[USER_COLUMN])
                            + Double.parseDouble(columns[KERNEL_COLUMN]);
            return new Usage(
                    ticks / TICKS_PER_SECOND, switches(proc), logLines(), peakResidentKib(proc));
        } catch (IOException e) {
            throw new IllegalStateException(
                    "the node process has exited; see its output in " + mOut, e);
        }
    }

    private static long switches(Path proc) throws IOException {
        long sum = 0;
        try (Stream<Path> tasks = Files.list(proc.resolve("task"))) {
            for (Path task : tasks.toList()) {
                sum += number(task.resolve("status"), "voluntary_ctxt_switches:");
            }
        }
        return sum;
    }

    private static long peakResidentKib(Path proc) throws IOException {
        return number(proc.resolve("status"), "VmHWM:");
    }

    private static long number(Path file, String name) throws IOException {
        for (String line : Files.readAllLines(file)) {
            if (line.startsWith(name)) {
                return Long.parseLong(line.replaceAll("[^0-9]", ""));
            }
        }
        return 0;
    }

    private long logLines() throws IOException {
        try (Stream<String> lines = Files.lines(mOut)) {
            return lines.count();
        }
    }

    @Override
    public void close() {
        mProcess.destroy();
        try {
            if (!mProcess.waitFor(EXIT_LIMIT.toMillis(), TimeUnit.MILLISECONDS)) {
                mProcess.destroyForcibly();
            }
        } catch (InterruptedException e) {
            mProcess.destroyForcibly();
            Thread.currentThread().interrupt();
        }
    }
}
