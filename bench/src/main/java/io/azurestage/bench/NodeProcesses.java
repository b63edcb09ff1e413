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
 * Nodes that an experiment runs as separate processes. All of them are killed by {@link #close()}
 * and by a shutdown hook of this JVM.
 */
final class NodeProcesses implements AutoCloseable {
    /** Upper bound of the resident memory of all node processes together. */
    static final long MAX_RESIDENT_BYTES = 12L << 30;

    private static final Path JAR =
            Path.of("node", "target", "azurestage-node-0.1.0-SNAPSHOT-all.jar");
    private static final Duration START_LIMIT = Duration.ofSeconds(60);
    private static final Duration EXIT_LIMIT = Duration.ofSeconds(15);
    private static final int START_BATCH_SIZE = 8;

    private final Path mFolder;
    private final String mHeap;
    private final Map<String, Process> mProcesses = new LinkedHashMap<>();
    private final Thread mShutdownHook = new Thread(this::killAll, "end-nodes");

    NodeProcesses(String heap) {
        if (!Files.exists(JAR)) {
            throw new IllegalStateException(
                    "node jar " + JAR + " not found; run bin/bench, which builds it");
        }
        mHeap = heap;
        try {
            mFolder = Files.createTempDirectory("azurestage-bench");
        } catch (IOException e) {
            throw new IllegalStateException(
                    "cannot create a temporary folder for node settings: " + e, e);
        }
        Runtime.getRuntime().addShutdownHook(mShutdownHook);
    }

    /** Placement, store address and seeds of a node to start. */
    record Start(NodeEndpoints.Place place, URI store, List<HostPort> seeds) {}

    /**
     * Starts nodes in batches and waits until their ports are open.
     *
     * @return the started nodes by id
     * @throws IllegalStateException if a node does not start within 60 s, or if the nodes use more
     *     than {@link #MAX_RESIDENT_BYTES}
     */
    Map<String, NodeEndpoints> start(List<Start> starts) {
        Map<String, NodeEndpoints> nodes = new LinkedHashMap<>();
        for (int i = 0; i < starts.size(); i += START_BATCH_SIZE) {
            List<Start> batch = starts.subList(i, Math.min(starts.size(), i + START_BATCH_SIZE));
            batch.forEach(this::launch);
            long end = System.nanoTime() + START_LIMIT.toNanos();
            batch.forEach(s -> nodes.put(s.place().nodeId(), await(s.place().nodeId(), end)));
            if (residentBytes() > MAX_RESIDENT_BYTES) {
                throw new IllegalStateException(
                        "the nodes use more than 12 GiB of resident memory");
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
                            .redirectOutput(outputFile(id, ".out"))
                            .redirectError(outputFile(id, ".err"))
                            .start();
            synchronized (this) {
                mProcesses.put(id, process);
            }
        } catch (IOException e) {
            throw new IllegalStateException("cannot start node " + id + ": " + e, e);
        }
    }

    private File outputFile(String id, String suffix) {
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

    /**
     * Sends SIGTERM to a node and waits for its exit.
     *
     * @return the exit code
     * @throws IllegalStateException if the node does not exit within 15 s
     */
    int leave(String id) {
        Process process = process(id);
        process.destroy();
        try {
            if (!process.waitFor(EXIT_LIMIT.toMillis(), TimeUnit.MILLISECONDS)) {
                throw new IllegalStateException(
                        "node " + id + " did not exit within 15 s after SIGTERM");
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

    /** Returns the total CPU time of all running nodes. */
    synchronized Duration cpu() {
        return mProcesses.values().stream()
                .map(p -> p.info().totalCpuDuration().orElse(Duration.ZERO))
                .reduce(Duration.ZERO, Duration::plus);
    }

    /** Returns the total resident memory of all running nodes, in bytes. */
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
            // The process has exited.
            return 0;
        }
    }

    private synchronized void killAll() {
        Collection<Process> all = List.copyOf(mProcesses.values());
        all.forEach(Process::destroyForcibly);
        try {
            for (Process process : all) {
                process.waitFor(EXIT_LIMIT.toMillis(), TimeUnit.MILLISECONDS);
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
            // The folder has already been deleted.
        }
    }

    @Override
    public void close() {
        killAll();
        Runtime.getRuntime().removeShutdownHook(mShutdownHook);
    }
}
