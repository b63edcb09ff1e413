package io.azurestage.bench;

import java.util.function.ToIntFunction;

/** Baseline without nodes: backend servers call each other directly. */
enum DirectPolicy implements Policy {
    /**
     * Three retries at each hop on any failure, a fixed timeout, and a FIFO queue that is bounded
     * only by the connections of the server.
     */
    NONE("none", Topology.Service::fullQueue, 1),

    /** A fixed concurrency limit with a short queue, and a retry budget of 10 % at each hop. */
    PER_HOP("per-hop", Topology.Service::slots, 0.1);

    private static final int RETRIES = 3;

    private final String mName;
    private final ToIntFunction<Topology.Service> mQueue;
    private final double mBudget;

    DirectPolicy(String name, ToIntFunction<Topology.Service> queue, double budget) {
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
        return new DirectMesh(settings, mQueue, RETRIES, mBudget);
    }
}
