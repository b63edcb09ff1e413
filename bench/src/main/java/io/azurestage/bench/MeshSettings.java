package io.azurestage.bench;

import io.azurestage.bench.standin.StandInRuntime;
import io.azurestage.bench.standin.WorkLedger;
import java.time.Duration;
import java.util.List;

/**
 * Settings that a policy starts a mesh with. The credential of each partner is {@link
 * MeshCaller#credential(String)}, and the operations are those of the flows. The hop timeout
 * applies to policies without deadline propagation.
 */
record MeshSettings(
        Topology topology,
        List<Share> partners,
        List<Flow> flows,
        StandInRuntime runtime,
        WorkLedger ledger,
        Duration hopTimeout,
        long seed) {
    /** Share and floor of a partner, in percent. */
    record Share(String partner, int share, int floor) {}
}
