package io.azurestage.bench;

import java.time.Duration;
import java.util.List;

/** Load of a run: phases, flows with a rate per phase, and the deadline of each request. */
record LoadPlan(
        List<Phase> phases, List<Flow> flows, boolean poisson, Duration deadline, long seed) {

    LoadPlan {
        phases = List.copyOf(phases);
        flows = List.copyOf(flows);
        for (Flow flow : flows) {
            if (flow.rates().size() != phases.size()) {
                throw new IllegalArgumentException(
                        "a flow needs one rate for each phase, but has the rates " + flow.rates());
            }
        }
    }

    /**
     * Returns the start of a phase in nanoseconds since the start of the load.
     *
     * @param phase index of the phase; the number of phases gives the end of the load
     */
    long startNanos(int phase) {
        return phases.subList(0, phase).stream().mapToLong(p -> p.length().toNanos()).sum();
    }

    long endNanos() {
        return startNanos(phases.size());
    }
}
