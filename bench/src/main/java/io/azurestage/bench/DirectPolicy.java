package io.azurestage.bench;

import java.util.function.ToIntFunction;

/** Baselines without nodes, in which backend servers call each other directly. */
enum DirectPolicy implements Policy {
    /**
     * Three retries per hop on any failure, a fixed timeout, and a FIFO queue that is bounded only
     * by the connection limit of the server.
     */
    NONE("none", Topology.Service::fullQueue, 1),

    /** A fixed concurrency limit with a short queue, and a retry budget of 10 % per hop. */
    PER_HOP("per-hop", Topology.Service::slots, 0.1);

    private static final int RETRIES = 3;

    private final String mLabel;
    private final ToIntFunction<Topology.Service> mQueueLength;
    private final double mRetryBudget;

    DirectPolicy(String name, ToIntFunction<Topology.Service> queue, double budget) {
        mLabel = name;
        mQueueLength = queue;
        mRetryBudget = budget;
    }

    @Override
    public String label() {
        return mLabel;
    }

    @Override
    public Mesh start(MeshSettings settings) {
        return new DirectMesh(settings, mQueueLength, RETRIES, mRetryBudget);
    }
}
