package io.azurestage.bench;

/** A way to protect a mesh against overload. */
interface Policy {
    /** Name on the command line and in the results. */
    String label();

    /** Starts all backend servers, and the nodes if the policy has any. */
    Mesh start(MeshSettings settings);
}
