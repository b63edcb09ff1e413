package io.azurestage.bench;

import io.azurestage.bench.standin.Downstream;
import io.azurestage.bench.standin.StandInBackend;
import io.azurestage.bench.standin.StandInRuntime;
import io.azurestage.bench.standin.StandInStore;
import io.azurestage.bench.standin.WorkLedger;
import io.azurestage.config.MeshConfig;
import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The mesh of the demo: stand-ins for the store and the backend servers run in this process, and
 * {@code bin/demo} starts the nodes. Both sides communicate through files in one folder: {@code
 * NODE.json} has the settings of a node; {@code start} lists all nodes once their settings are
 * written; {@code NODE.out} is the output of a node; {@code leave} names a node to stop with
 * SIGTERM; {@code NODE.exit} has its exit code.
 */
final class DemoMesh implements AutoCloseable {
    private static final Duration START_LIMIT = Duration.ofSeconds(25);
    private static final Duration LEAVE_LIMIT = Duration.ofSeconds(15);
    private static final int BACKEND_QUEUE = 1_000;
    private static final int CONNECTIONS = 400;

    private final Path mFolder;
    private final WorkLedger mLedger = new WorkLedger();
    private final StandInRuntime mRuntime = new StandInRuntime(CONNECTIONS);
    private final StandInStore mStore = StandInStore.start();
    private final Map<String, StandInBackend> mBackends = new LinkedHashMap<>();
    private final Map<String, NodeEndpoints> mNodes = new LinkedHashMap<>();
    private final AdminClient mAdmin = new AdminClient();

    DemoMesh(Path folder) {
        mFolder = folder;
    }

    StandInStore store() {
        return mStore;
    }

    WorkLedger ledger() {
        return mLedger;
    }

    AdminClient admin() {
        return mAdmin;
    }

    synchronized List<NodeEndpoints> nodes() {
        return List.copyOf(mNodes.values());
    }

    List<URI> entries() {
        return nodes().stream().map(n -> URI.create("http://" + n.ingress())).toList();
    }

    MeshConfig config(List<MeshSettings.Share> shares) {
        // Both partners call the same operations, which may be declared only once.
        List<Flow> flows =
                DemoPlan.load().flows().stream()
                        .filter(f -> f.partner().equals(DemoPlan.OTHER))
                        .toList();
        return AzurestagePolicy.config(
                new MeshSettings(
                        DemoPlan.TOPOLOGY,
                        shares,
                        flows,
                        mRuntime,
                        mLedger,
                        Duration.ofSeconds(1),
                        DemoPlan.SEED));
    }

    /**
     * Starts the backend servers, signals the script to start the nodes and waits until the mesh
     * has converged.
     *
     * @throws IllegalStateException if that takes longer than 25 s
     */
    void start() throws IOException {
        AzurestagePolicy.push(mStore, config(DemoPlan.FIRST_SPLIT));
        List<Topology.Service> services = DemoPlan.TOPOLOGY.services();
        for (int i = 0; i < services.size(); i++) {
            for (int j = 0; j < services.get(i).servers(); j++) {
                add(i, j);
            }
        }
        writeAtomically("start", String.join("\n", mBackends.keySet()) + "\n");
        long end = System.nanoTime() + START_LIMIT.toNanos();
        for (var item : mBackends.entrySet()) {
            NodeEndpoints node = awaitNode(item.getKey(), end);
            URI egress = URI.create("http://" + node.egress());
            item.getValue().downstream(Downstream.egress(egress, mRuntime));
            mNodes.put(item.getKey(), node);
        }
        while (!hasConverged()) {
            pauseOrFail(end, "the nodes did not all discover each other within 25 s");
        }
    }

    private void add(int service, int server) throws IOException {
        Topology topology = DemoPlan.TOPOLOGY;
        StandInBackend backend =
                StandInBackend.start(
                        topology.spec(service, server, BACKEND_QUEUE, DemoPlan.SEED),
                        mRuntime,
                        mLedger);
        Topology.Service s = topology.services().get(service);
        String id = s.name() + "-" + server;
        mBackends.put(id, backend);
        NodeEndpoints.writeSettings(
                mFolder.resolve(id + ".json"),
                new NodeEndpoints.Place(id, "dc" + server, "region", s, backend.address()),
                mStore.uri(),
                List.of());
    }

    private NodeEndpoints awaitNode(String id, long end) throws IOException {
        NodeEndpoints node = NodeEndpoints.read(mFolder.resolve(id + ".out"));
        while (node == null) {
            pauseOrFail(end, "node " + id + " did not start within 25 s");
            node = NodeEndpoints.read(mFolder.resolve(id + ".out"));
        }
        return node;
    }

    private boolean hasConverged() {
        var statuses = mAdmin.statuses(mNodes.values());
        var metrics = mAdmin.metrics(mNodes.values());
        return statuses.size() == mNodes.size()
                && statuses.values().stream()
                        .allMatch(s -> s.path("state").asText().equals("SERVING"))
                && metrics.values().stream()
                        .allMatch(m -> m.get("azurestage_members") == mNodes.size());
    }

    private static void pauseOrFail(long end, String message) {
        if (System.nanoTime() - end > 0) {
            throw new IllegalStateException(message);
        }
        Sleep.millis(20);
    }

    /** Signals the script to stop the node of a service's first server and waits for its exit. */
    DemoCheck.Leaving leave(String service, Runnable leaving) throws IOException {
        String id = service + "-0";
        StandInBackend backend = mBackends.get(id);
        synchronized (this) {
            mNodes.remove(id);
        }
        leaving.run();
        long left = System.nanoTime();
        writeAtomically("leave", id);
        long end = left + LEAVE_LIMIT.toNanos();
        Path exit = mFolder.resolve(id + ".exit");
        while (!Files.exists(exit)) {
            pauseOrFail(end, "node " + id + " did not exit within 15 s after SIGTERM");
        }
        int inProgress = backend.inProgress();
        int exitCode = Integer.parseInt(Files.readString(exit).strip());
        long last = Mesh.Replacement.of(left, backend, inProgress).lastNewWorkMs();
        return new DemoCheck.Leaving(left, System.nanoTime(), exitCode, last, inProgress);
    }

    /** Writes a file atomically, so that the script never reads a partial one. */
    private void writeAtomically(String name, String text) throws IOException {
        Path part = mFolder.resolve(name + ".part");
        Files.writeString(part, text);
        Files.move(part, mFolder.resolve(name), StandardCopyOption.ATOMIC_MOVE);
    }

    /**
     * Waits until no backend server has requests in progress.
     *
     * @throws IllegalStateException if that takes longer than the limit
     */
    void awaitIdle(Duration limit) {
        long end = System.nanoTime() + limit.toNanos();
        while (new ArrayList<>(mBackends.values()).stream().anyMatch(b -> b.inProgress() > 0)) {
            pauseOrFail(
                    end, "backend servers still had requests in progress after the load had ended");
        }
    }

    @Override
    public void close() {
        mBackends.values().forEach(StandInBackend::close);
        mRuntime.close();
        mStore.close();
    }
}
