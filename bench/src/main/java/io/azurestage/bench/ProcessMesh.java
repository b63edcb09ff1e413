package io.azurestage.bench;

import com.fasterxml.jackson.databind.JsonNode;
import io.azurestage.bench.standin.Downstream;
import io.azurestage.bench.standin.StandInBackend;
import io.azurestage.bench.standin.StandInRuntime;
import io.azurestage.bench.standin.StandInStore;
import io.azurestage.bench.standin.WorkLedger;
import io.azurestage.config.MeshConfig;
import io.azurestage.node.HostPort;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A mesh whose nodes run as separate processes, with the stand-ins in this process. */
final class ProcessMesh implements AutoCloseable {
    private static final String HEAP = "128m";
    private static final Duration JOIN_LIMIT = Duration.ofSeconds(30);
    private static final int BACKEND_QUEUE = 1_000;
    private static final int CONNECTIONS = 300;
    private static final int SEED_COUNT = 3;

    private final Topology mTopology;
    private final List<MeshSettings.Share> mShares;
    private final List<Flow> mFlows;
    private final long mSeed;
    private final WorkLedger mLedger = new WorkLedger();
    private final StandInRuntime mRuntime = new StandInRuntime(CONNECTIONS);
    private final StandInStore mStore = StandInStore.start();
    private final NodeProcesses mProcesses = new NodeProcesses(HEAP);
    private final AdminClient mAdmin = new AdminClient();
    private final Map<String, Server> mServers = new LinkedHashMap<>();
    private int mReplacements;

    /** A backend server and its sidecar node. */
    private record Server(StandInBackend backend, NodeEndpoints node, String dataCentre) {}

    ProcessMesh(Topology topology, List<MeshSettings.Share> shares, List<Flow> flows, long seed) {
        mTopology = topology;
        mShares = List.copyOf(shares);
        mFlows = List.copyOf(flows);
        mSeed = seed;
    }

    StandInStore store() {
        return mStore;
    }

    AdminClient admin() {
        return mAdmin;
    }

    WorkLedger ledger() {
        return mLedger;
    }

    synchronized List<NodeEndpoints> nodes() {
        return mServers.values().stream().map(Server::node).toList();
    }

    synchronized Map<NodeEndpoints, String> dataCentres() {
        Map<NodeEndpoints, String> all = new LinkedHashMap<>();
        mServers.values().forEach(s -> all.put(s.node(), s.dataCentre()));
        return all;
    }

    List<URI> entries() {
        return nodes().stream().map(n -> URI.create("http://" + n.ingress())).toList();
    }

    long highestNumber() {
        return mAdmin.statuses(nodes()).values().stream()
                .mapToLong(s -> s.path("configNumber").asLong())
                .max()
                .orElse(0);
    }

    /** Returns the configuration with a different share, in percent, for the first partner. */
    MeshConfig config(int share) {
        MeshSettings.Share first = mShares.get(0);
        return config(List.of(new MeshSettings.Share(first.partner(), share, first.floor())));
    }

    private MeshConfig config(List<MeshSettings.Share> shares) {
        return AzurestagePolicy.config(
                new MeshSettings(
                        mTopology,
                        shares,
                        mFlows,
                        mRuntime,
                        mLedger,
                        Duration.ofSeconds(1),
                        mSeed));
    }

    void start() {
        AzurestagePolicy.push(mStore, config(mShares));
        List<StandInBackend> backends = new ArrayList<>();
        List<NodeProcesses.Start> starts = new ArrayList<>();
        for (int i = 0; i < mTopology.services().size(); i++) {
            for (int j = 0; j < mTopology.services().get(i).servers(); j++) {
                StandInBackend backend = backend(i, j);
                backends.add(backend);
                starts.add(start(i, j, backend, List.of()));
            }
        }
        Map<String, NodeEndpoints> nodes = mProcesses.start(starts);
        for (int i = 0; i < starts.size(); i++) {
            add(starts.get(i), backends.get(i), nodes);
        }
        long end = System.nanoTime() + JOIN_LIMIT.toNanos();
        while (!hasConverged()) {
            pauseOrFail(end, "the nodes did not all discover each other within 30 s");
        }
    }

    private StandInBackend backend(int service, int server) {
        return StandInBackend.start(
                mTopology.spec(service, server, BACKEND_QUEUE, mSeed), mRuntime, mLedger);
    }

    private NodeProcesses.Start start(
            int service, int server, StandInBackend backend, List<HostPort> seeds) {
        Topology.Service s = mTopology.services().get(service);
        NodeEndpoints.Place place =
                new NodeEndpoints.Place(
                        s.name() + "-" + server, "dc" + server % 3, "region", s, backend.address());
        return new NodeProcesses.Start(place, mStore.uri(), seeds);
    }

    private synchronized void add(
            NodeProcesses.Start start, StandInBackend backend, Map<String, NodeEndpoints> nodes) {
        NodeEndpoints node = nodes.get(start.place().nodeId());
        backend.downstream(Downstream.egress(URI.create("http://" + node.egress()), mRuntime));
        mServers.put(node.nodeId(), new Server(backend, node, start.place().dataCentre()));
    }

    private boolean hasConverged() {
        List<NodeEndpoints> nodes = nodes();
        var metrics = mAdmin.metrics(nodes);
        return metrics.size() == nodes.size()
                && metrics.values().stream()
                        .allMatch(m -> m.get("azurestage_members") == nodes.size())
                && mAdmin.statuses(nodes).values().stream().allMatch(ProcessMesh::isServing);
    }

    private static boolean isServing(JsonNode status) {
        return status.path("state").asText().equals("SERVING");
    }

    private static void pauseOrFail(long end, String message) {
        if (System.nanoTime() - end > 0) {
            throw new IllegalStateException(message);
        }
        Sleep.millis(50);
    }

    /**
     * Starts a new server of a service and, once it serves, shuts down the first server of the
     * service. The new node gets only a few peers as seeds.
     *
     * @param service index of the service
     * @param leaving runs when the old server starts to shut down
     * @return number of requests in progress at the old server when its node had exited
     */
    int replace(int service, Runnable leaving) {
        Topology.Service s = mTopology.services().get(service);
        int server = s.servers() + mReplacements++;
        List<HostPort> seeds =
                nodes().stream().skip(1).limit(SEED_COUNT).map(NodeEndpoints::control).toList();
        StandInBackend backend = backend(service, server);
        NodeProcesses.Start start = start(service, server, backend, seeds);
        Map<String, NodeEndpoints> started = mProcesses.start(List.of(start));
        NodeEndpoints node = started.get(start.place().nodeId());
        // Calls may arrive as soon as the node serves, so set the downstream before that.
        backend.downstream(Downstream.egress(URI.create("http://" + node.egress()), mRuntime));
        long end = System.nanoTime() + JOIN_LIMIT.toNanos();
        while (mAdmin.statuses(List.of(node)).values().stream().noneMatch(ProcessMesh::isServing)) {
            pauseOrFail(end, "the replacement node did not become ready within 30 s");
        }
        add(start, backend, started);
        String oldId = s.name() + "-0";
        Server old;
        synchronized (this) {
            old = mServers.remove(oldId);
        }
        leaving.run();
        mProcesses.leave(oldId);
        int cutOff = old.backend().inProgress();
        old.backend().close();
        return cutOff;
    }

    @Override
    public void close() {
        mProcesses.close();
        mServers.values().forEach(s -> s.backend().close());
        mRuntime.close();
        mStore.close();
    }
}
