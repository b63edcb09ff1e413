package io.azurestage.bench;

import io.azurestage.bench.standin.BackendSpec;
import io.azurestage.bench.standin.DirectDownstream;
import io.azurestage.bench.standin.StandInBackend;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToIntFunction;

/** Baseline without nodes: backend servers call each other directly. */
enum DirectPolicy implements Policy {
    /** Three retries at each hop on any failure, a fixed timeout, and a long FIFO queue. */
    NONE("none", slots -> 1000, 1),

    /** A fixed concurrency limit with a short queue, and a retry budget of 10 % at each hop. */
    PER_HOP("per-hop", slots -> slots, 0.1);

    private static final int RETRIES = 3;
    private static final Duration HOP_TIMEOUT = Duration.ofSeconds(1);

    private final String mName;
    private final ToIntFunction<Integer> mQueue;
    private final double mBudget;

    DirectPolicy(String name, ToIntFunction<Integer> queue, double budget) {
        mName = name;
        mQueue = queue;
        mBudget = budget;
    }

    @Override
    public String label() {
        return mName;
    }

    @Override
    public Mesh start(MeshSettings settings) {
        Map<String, List<URI>> addresses = new HashMap<>();
        List<StandInBackend> backends = new ArrayList<>();
        List<Topology.Service> services = settings.topology().services();
        for (int i = 0; i < services.size(); i++) {
            Topology.Service service = services.get(i);
            for (int j = 0; j < service.servers(); j++) {
                int queue = mQueue.applyAsInt(service.slots());
                BackendSpec spec = settings.topology().spec(i, j, queue, settings.seed());
                StandInBackend backend =
                        StandInBackend.start(spec, settings.runtime(), settings.ledger());
                backends.add(backend);
                addresses
                        .computeIfAbsent(service.name(), name -> new ArrayList<>())
                        .add(backend.address());
            }
        }
        for (StandInBackend backend : backends) {
            backend.downstream(
                    DirectDownstream.builder(settings.runtime(), addresses)
                            .retries(RETRIES, mBudget)
                            .timeout(HOP_TIMEOUT)
                            .seed(backend.spec().seed())
                            .build());
        }
        return new Direct(List.copyOf(addresses.get(services.get(0).name())), backends);
    }

    private record Direct(List<URI> entries, List<StandInBackend> backends) implements Mesh {
        @Override
        public boolean tickets() {
            return false;
        }

        @Override
        public void close() {
            backends.forEach(StandInBackend::close);
        }
    }
}
