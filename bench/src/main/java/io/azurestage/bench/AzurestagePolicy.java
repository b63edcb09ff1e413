package io.azurestage.bench;

import io.azurestage.bench.standin.BackendSpec;
import io.azurestage.bench.standin.Downstream;
import io.azurestage.bench.standin.StandInBackend;
import io.azurestage.bench.standin.StandInStore;
import io.azurestage.config.AcceptedConfig;
import io.azurestage.config.Azurestage;
import io.azurestage.config.ConfigBuilder;
import io.azurestage.config.MeshConfig;
import io.azurestage.config.WorkClass;
import io.azurestage.node.HostPort;
import io.azurestage.node.Node;
import io.azurestage.node.NodeSettings;
import io.azurestage.node.NodeStartException;
import io.azurestage.store.EtcdStore;
import io.azurestage.store.PlatformStore;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** Policy under test: one azurestage node runs as a sidecar of each backend server. */
final class AzurestagePolicy implements Policy {
    static final String MESH_KEY = "000102030405060708090a0b0c0d0e0f";

    private static final HostPort ANY = new HostPort("127.0.0.1", 0);
    private static final int DATA_CENTRES = 4;
    private static final Duration START_LIMIT = Duration.ofSeconds(30);
    // The node does admission control, so the queue of the backend server behind it must never be
    // the limit.
    private static final int BACKEND_QUEUE = 1_000;

    @Override
    public String label() {
        return "azurestage";
    }

    @Override
    public Mesh start(MeshSettings settings) {
        NodeMesh m = new NodeMesh(settings);
        push(m.mStore, config(settings));
        List<Topology.Service> services = settings.topology().services();
        for (int i = 0; i < services.size(); i++) {
            for (int j = 0; j < services.get(i).servers(); j++) {
                m.add(i, j);
            }
        }
        await(m.nodes());
        return m;
    }

    private static Node startNode(
            StandInStore store, Topology.Service service, int server, URI backend) {
        try {
            return Node.start(settings(store, service, server, backend));
        } catch (NodeStartException e) {
            throw new IllegalStateException(e.getMessage(), e);
        }
    }

    static NodeSettings settings(
            StandInStore store, Topology.Service service, int server, URI backend) {
        return new NodeSettings(
                service.name() + "-" + server,
                service.name(),
                "dc" + server % DATA_CENTRES,
                "region",
                service.slots(),
                service.connections(),
                new HostPort(backend.getHost(), backend.getPort()),
                ANY,
                ANY,
                ANY,
                ANY,
                MESH_KEY,
                null,
                List.of(HostPort.parse(store.uri().getAuthority())),
                List.of(),
                0L,
                null,
                null,
                null,
                null,
                null,
                null,
                null,
                null,
                null);
    }

    static MeshConfig config(MeshSettings settings) {
        ConfigBuilder b = Azurestage.config();
        for (MeshSettings.Share s : settings.partners()) {
            b.partner(
                    s.partner(),
                    p ->
                            p.share(s.share())
                                    .floor(s.floor())
                                    .credential(MeshCaller.credential(s.partner())));
        }
        for (String name : settings.topology().names()) {
            b.service(
                    name,
                    s -> {
                        for (Flow f : settings.flows()) {
                            s.operation(
                                    f.method(),
                                    f.path(),
                                    WorkClass.valueOf(
                                            f.workClass().name().toUpperCase(Locale.ROOT)),
                                    f.method().equals("GET"));
                        }
                        return s;
                    });
        }
        return b.build();
    }

    static void push(StandInStore store, MeshConfig config) {
        try (PlatformStore client =
                EtcdStore.connect(List.of(store.uri()), Duration.ofSeconds(2))) {
            AcceptedConfig first = new AcceptedConfig(1, "first", "bench", Instant.now(), config);
            client.compareAndSwap(
                            "azurestage/config",
                            PlatformStore.ABSENT,
                            first.toJson().getBytes(StandardCharsets.UTF_8),
                            PlatformStore.NO_LEASE)
                    .join();
        }
    }

    private static void await(List<Node> nodes) {
        long end = System.nanoTime() + START_LIMIT.toNanos();
        while (!nodes.stream().allMatch(n -> n.isReady() && n.aliveMembers() == nodes.size())) {
            if (System.nanoTime() - end > 0) {
                throw new IllegalStateException(
                        "the nodes did not all become ready and discover each other within 30 s");
            }
            Sleep.millis(20);
        }
        // The last membership changes still have to propagate to every router.
        Sleep.millis(1_500);
    }

    private static void awaitReady(Node node) {
        long end = System.nanoTime() + START_LIMIT.toNanos();
        while (!node.isReady()) {
            if (System.nanoTime() - end > 0) {
                throw new IllegalStateException(
                        "the replacement node did not become ready within 30 s");
            }
            Sleep.millis(20);
        }
    }

    /** A running mesh with a node for each backend server. */
    static final class NodeMesh implements Mesh {
        private final MeshSettings mSettings;
        private final StandInStore mStore = StandInStore.start();
        private final List<StandInBackend> mBackends = new CopyOnWriteArrayList<>();
        private final Map<StandInBackend, Node> mNodes = new ConcurrentHashMap<>();
        private int mReplacements;

        NodeMesh(MeshSettings settings) {
            mSettings = settings;
        }

        private Node add(int service, int server) {
            Topology topology = mSettings.topology();
            BackendSpec spec = topology.spec(service, server, BACKEND_QUEUE, mSettings.seed());
            StandInBackend backend =
                    StandInBackend.start(spec, mSettings.runtime(), mSettings.ledger());
            Node node =
                    startNode(mStore, topology.services().get(service), server, backend.address());
            URI egress = URI.create("http://" + node.egress());
            backend.downstream(Downstream.egress(egress, mSettings.runtime()));
            mNodes.put(backend, node);
            mBackends.add(backend);
            return node;
        }

        @Override
        public Replacement replace(StandInBackend old, Runnable leaving) {
            int service = mSettings.topology().names().indexOf(old.spec().service());
            int servers = mSettings.topology().services().get(service).servers();
            Node replacement = add(service, servers + mReplacements++);
            awaitReady(replacement);
            Node node = mNodes.remove(old);
            mBackends.remove(old);
            leaving.run();
            long left = System.nanoTime();
            node.drain();
            try {
                node.awaitStopped();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IllegalStateException("the experiment was interrupted", e);
            }
            int cutOff = old.inProgress();
            old.close();
            return Replacement.of(left, old, cutOff);
        }

        List<Node> nodes() {
            return mBackends.stream().map(mNodes::get).toList();
        }

        StandInStore store() {
            return mStore;
        }

        @Override
        public List<URI> entries() {
            return nodes().stream().map(n -> URI.create("http://" + n.ingress())).toList();
        }

        @Override
        public boolean tickets() {
            return true;
        }

        @Override
        public List<StandInBackend> backends() {
            return mBackends;
        }

        @Override
        public void close() {
            mNodes.values().forEach(Node::close);
            mBackends.forEach(StandInBackend::close);
            mStore.close();
        }
    }
}
