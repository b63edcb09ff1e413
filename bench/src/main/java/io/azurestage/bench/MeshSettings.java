package io.azurestage.bench;

import io.azurestage.bench.standin.StandInRuntime;
import io.azurestage.bench.standin.WorkLedger;
import java.util.List;

/**
 * What a policy needs to start a mesh. The credential of each partner is {@link
 * MeshCaller#credential(String)}; the operations are those of the flows.
 */
record MeshSettings(
        Topology topology,
        List<Share> partners,
        List<Flow> flows,
        StandInRuntime runtime,
        WorkLedger ledger,
        long seed) {
    /** A partner with its share and its floor in percent. */
    record Share(String partner, int share, int floor) {}
}
