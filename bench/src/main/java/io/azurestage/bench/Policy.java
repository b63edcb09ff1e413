package io.azurestage.bench;

/** An overload protection policy that experiments compare. */
interface Policy {
    /** Returns the name on the command line and in the results. */
    String label();

    /** Starts all backend servers, and the nodes if the policy uses them. */
    Mesh start(MeshSettings settings);
}
