package io.azurestage.bench;

import io.azurestage.bench.standin.StandInRuntime;
import io.azurestage.bench.standin.WorkLedger;
import java.time.Duration;
import java.util.List;

/**
 * What a policy needs to start a mesh. The credential of each partner is {@link
 * MeshCaller#credential(String)}; the operations are those of the flows. The hop timeout is for
 * policies without deadlines.
 */
record MeshSettings(
        Topology topology,
        List<Share> partners,
        List<Flow> flows,
        StandInRuntime runtime,
        WorkLedger ledger,
        Duration hopTimeout,
        long seed) {
    /** A partner with its share and its floor in percent. */
    record Share(String partner, int share, int floor) {}
}
