package io.azurestage.bench;

import io.azurestage.bench.standin.BackendSpec;
import io.azurestage.bench.standin.DirectDownstream;
import io.azurestage.bench.standin.StandInBackend;
import java.net.URI;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.ToIntFunction;

/** A mesh without nodes: backend servers call each other directly. */
final class DirectMesh implements Mesh {
    /** Time that a replaced server stays up without new work, as common in deployment scripts. */
    private static final long DRAIN_GRACE_MS = 3_000;

    private final MeshSettings mSettings;
    private final int mRetries;
    private final double mBudget;
    private final Map<String, List<URI>> mAddresses = new ConcurrentHashMap<>();
    private final List<StandInBackend> mBackends = new CopyOnWriteArrayList<>();

    DirectMesh(
            MeshSettings settings,
            ToIntFunction<Topology.Service> queue,
            int retries,
            double budget) {
        mSettings = settings;
        mRetries = retries;
        mBudget = budget;
        List<Topology.Service> services = settings.topology().services();
        for (int i = 0; i < services.size(); i++) {
            int bound = queue.applyAsInt(services.get(i));
            mAddresses.put(services.get(i).name(), new CopyOnWriteArrayList<>());
            for (int j = 0; j < services.get(i).servers(); j++) {
                StandInBackend backend =
                        start(settings.topology().spec(i, j, bound, settings.seed()));
                mAddresses.get(services.get(i).name()).add(backend.address());
            }
        }
    }

    private StandInBackend start(BackendSpec spec) {
        StandInBackend backend =
                StandInBackend.start(spec, mSettings.runtime(), mSettings.ledger());
        backend.downstream(
                DirectDownstream.builder(mSettings.runtime(), mAddresses)
                        .retries(mRetries, mBudget)
                        .timeout(mSettings.hopTimeout())
                        .seed(spec.seed())
                        .build());
        mBackends.add(backend);
        return backend;
    }

    @Override
    public Replacement replace(StandInBackend old, Runnable leaving) {
        StandInBackend replacement = start(old.spec());
        List<URI> addresses = mAddresses.get(old.spec().service());
        addresses.set(addresses.indexOf(old.address()), replacement.address());
        leaving.run();
        long left = System.nanoTime();
        Sleep.millis(DRAIN_GRACE_MS);
        int cutOff = old.inProgress();
        mBackends.remove(old);
        old.close();
        return Replacement.of(left, old, cutOff);
    }

    @Override
    public List<URI> entries() {
        return List.copyOf(mAddresses.get(mSettings.topology().names().get(0)));
    }

    @Override
    public boolean tickets() {
        return false;
    }

    @Override
    public List<StandInBackend> backends() {
        return mBackends;
    }

    @Override
    public void close() {
        mBackends.forEach(StandInBackend::close);
    }
}
