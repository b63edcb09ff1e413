package io.azurestage.bench;

import java.time.Duration;
import java.util.List;

/** What a load generator sends. */
record LoadPlan(
        List<Phase> phases, List<Flow> flows, boolean poisson, Duration deadline, long seed) {

    LoadPlan {
        phases = List.copyOf(phases);
        flows = List.copyOf(flows);
        for (Flow flow : flows) {
            if (flow.rates().size() != phases.size()) {
                throw new IllegalArgumentException(
                        "a flow needs one rate for each phase, not " + flow.rates());
            }
        }
    }

    /** Returns the start of a phase in nanoseconds; the number of phases gives the end. */
    long startNanos(int phase) {
        return phases.subList(0, phase).stream().mapToLong(p -> p.length().toNanos()).sum();
    }

    long endNanos() {
        return startNanos(phases.size());
    }
}
