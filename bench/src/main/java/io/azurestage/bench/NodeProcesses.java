package io.azurestage.bench;

import io.azurestage.node.HostPort;
import java.io.File;
import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * Nodes that an experiment runs as processes of their own. All of them end when this is closed, and
 * when the experiment's own process is told to end.
 */
final class NodeProcesses implements AutoCloseable {
    /** All processes together stay under this. */
    static final long MAX_BYTES = 12L << 30;

    private static final Path JAR =
            Path.of("node", "target", "azurestage-node-0.1.0-SNAPSHOT-all.jar");
    private static final Duration START_LIMIT = Duration.ofSeconds(60);
    private static final Duration END_LIMIT = Duration.ofSeconds(15);
    private static final int STARTS_AT_ONCE = 8;

    private final Path mFolder;
    private final String mHeap;
    private final Map<String, Process> mProcesses = new LinkedHashMap<>();
    private final Thread mHook = new Thread(this::endAll, "end-nodes");

    NodeProcesses(String heap) {
        if (!Files.exists(JAR)) {
            throw new IllegalStateException("there is no " + JAR + "; start with bin/bench");
        }
        mHeap = heap;
        try {
            mFolder = Files.createTempDirectory("azurestage-bench");
        } catch (IOException e) {
            throw new IllegalStateException("cannot create a folder for settings: " + e, e);
        }
        Runtime.getRuntime().addShutdownHook(mHook);
    }

    /** What a new node gets. */
    record Start(NodeEndpoints.Place place, URI store, List<HostPort> seeds) {}

    /** Starts nodes, a few at once, and returns them once their ports are open. */
    Map<String, NodeEndpoints> start(List<Start> starts) {
        Map<String, NodeEndpoints> nodes = new LinkedHashMap<>();
        for (int i = 0; i < starts.size(); i += STARTS_AT_ONCE) {
            List<Start> some = starts.subList(i, Math.min(starts.size(), i + STARTS_AT_ONCE));
            some.forEach(this::launch);
            long end = System.nanoTime() + START_LIMIT.toNanos();
            some.forEach(s -> nodes.put(s.place().nodeId(), await(s.place().nodeId(), end)));
            if (residentBytes() > MAX_BYTES) {
                throw new IllegalStateException("the nodes need more than 12 GiB of memory");
            }
        }
        return nodes;
    }

    private void launch(Start start) {
        String id = start.place().nodeId();
        Path settings = mFolder.resolve(id + ".json");
        try {
            NodeEndpoints.writeSettings(settings, start.place(), start.store(), start.seeds());
            Process process =
                    new ProcessBuilder(
                                    Path.of(System.getProperty("java.home"), "bin", "java")
                                            .toString(),
                                    "-Xmx" + mHeap,
                                    "-XX:+UseSerialGC",
                                    "-jar",
                                    JAR.toString(),
                                    "--settings",
                                    settings.toString())
                            .redirectOutput(file(id, ".out"))
                            .redirectError(file(id, ".err"))
                            .start();
            synchronized (this) {
                mProcesses.put(id, process);
            }
        } catch (IOException e) {
            throw new IllegalStateException("cannot start node " + id + ": " + e, e);
        }
    }

    private File file(String id, String suffix) {
        return mFolder.resolve(id + suffix).toFile();
    }

    private NodeEndpoints await(String id, long end) {
        try {
            while (true) {
                NodeEndpoints node = NodeEndpoints.read(mFolder.resolve(id + ".out"));
                if (node != null) {
                    return node;
                }
                if (!process(id).isAlive() || System.nanoTime() > end) {
                    throw new IllegalStateException(
                            "node "
                                    + id
                                    + " did not start: "
                                    + Files.readString(mFolder.resolve(id + ".err")).strip());
                }
                Sleep.millis(20);
            }
        } catch (IOException e) {
            throw new IllegalStateException("cannot read the output of node " + id, e);
        }
    }

    private synchronized Process process(String id) {
        return mProcesses.get(id);
    }

    /** Sends SIGTERM to a node, waits for its end and returns its exit code. */
    int leave(String id) {
        Process process = process(id);
        process.destroy();
        try {
            if (!process.waitFor(END_LIMIT.toMillis(), TimeUnit.MILLISECONDS)) {
                throw new IllegalStateException("node " + id + " did not end after SIGTERM");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("the experiment was interrupted", e);
        }
        synchronized (this) {
            mProcesses.remove(id);
        }
        return process.exitValue();
    }

    /** Returns the CPU time of all running nodes together. */
    synchronized Duration cpu() {
        return mProcesses.values().stream()
                .map(p -> p.info().totalCpuDuration().orElse(Duration.ZERO))
                .reduce(Duration.ZERO, Duration::plus);
    }

    /** Returns the resident memory of all running nodes together. */
    synchronized long residentBytes() {
        return mProcesses.values().stream().mapToLong(p -> residentBytes(p.pid())).sum();
    }

    private static long residentBytes(long pid) {
        try (Stream<String> lines = Files.lines(Path.of("/proc", Long.toString(pid), "status"))) {
            return lines.filter(line -> line.startsWith("VmRSS:"))
                    .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")) << 10)
                    .findFirst()
                    .orElse(0);
        } catch (IOException e) {
            // The process has ended.
            return 0;
        }
    }

    private synchronized void endAll() {
        Collection<Process> all = List.copyOf(mProcesses.values());
        all.forEach(Process::destroyForcibly);
        try {
            for (Process process : all) {
                process.waitFor(END_LIMIT.toMillis(), TimeUnit.MILLISECONDS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        mProcesses.clear();
        deleteFolder();
    }

    private void deleteFolder() {
        try (Stream<Path> files = Files.walk(mFolder)) {
            files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
        } catch (IOException e) {
            // The folder has been deleted before.
        }
    }

    @Override
    public void close() {
        endAll();
        Runtime.getRuntime().removeShutdownHook(mHook);
    }
}
