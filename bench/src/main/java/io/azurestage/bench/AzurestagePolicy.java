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
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** A node beside each backend server. */
final class AzurestagePolicy implements Policy {
    static final String MESH_KEY = "000102030405060708090a0b0c0d0e0f";

    private static final HostPort ANY = new HostPort("127.0.0.1", 0);
    private static final int DATA_CENTRES = 4;
    private static final Duration START_LIMIT = Duration.ofSeconds(30);
    // The node admits; the backend server behind it never needs a queue of its own.
    private static final int BACKEND_QUEUE = 1_000;

    @Override
    public String label() {
        return "azurestage";
    }

    @Override
    public Mesh start(MeshSettings settings) {
        Started m = new Started();
        push(m.mStore, config(settings));
        List<Topology.Service> services = settings.topology().services();
        for (int i = 0; i < services.size(); i++) {
            for (int j = 0; j < services.get(i).servers(); j++) {
                BackendSpec spec = settings.topology().spec(i, j, BACKEND_QUEUE, settings.seed());
                StandInBackend backend =
                        StandInBackend.start(spec, settings.runtime(), settings.ledger());
                Node node = startNode(m.mStore, services.get(i), j, backend.address());
                URI egress = URI.create("http://" + node.egress());
                backend.downstream(Downstream.egress(egress, settings.runtime()));
                m.mBackends.add(backend);
                m.mNodes.add(node);
            }
        }
        await(m.mNodes);
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
                throw new IllegalStateException("the nodes did not find each other in time");
            }
            Sleep.millis(20);
        }
        // The last state changes need a moment to reach every router.
        Sleep.millis(1_500);
    }

    /** A running mesh with its nodes. */
    static final class Started implements Mesh {
        private final StandInStore mStore = StandInStore.start();
        private final List<StandInBackend> mBackends = new ArrayList<>();
        private final List<Node> mNodes = new ArrayList<>();

        List<Node> nodes() {
            return mNodes;
        }

        StandInStore store() {
            return mStore;
        }

        @Override
        public List<URI> entries() {
            return mNodes.stream().map(n -> URI.create("http://" + n.ingress())).toList();
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
            mNodes.forEach(Node::close);
            mBackends.forEach(StandInBackend::close);
            mStore.close();
        }
    }
}
