package io.azurestage.relay.call;

import io.azurestage.core.admission.ServiceLevel;
import java.util.List;

/**
 * State of a backend server and of the services below it, sent with each result.
 *
 * @param load requests running and waiting over the slots, negative if unknown
 * @param faults part of its work that the server fails or turns away, in [0,1]
 * @param levels admitted fractions by service and class
 * @param calls calls that one request of this operation makes on average, directly or below
 * @param calledByServers whether servers call this operation, rather than clients
 * @param retryGranted whether the node has paid from its retry budget for another attempt at the
 *     very request
 */
public record LoadReport(
        double load,
        double faults,
        List<ServiceLevel> levels,
        double calls,
        boolean calledByServers,
        boolean retryGranted) {
    /** Says nothing. */
    public static final LoadReport NONE = new LoadReport(-1, 0, List.of(), 0, false, false);

    /** Copies the levels. */
    public LoadReport {
        levels = List.copyOf(levels);
    }

    /**
     * Returns the same report with a retry that is paid for.
     *
     * @return a copy
     */
    public LoadReport withRetryGranted() {
        return new LoadReport(load, faults, levels, calls, calledByServers, true);
    }

    /**
     * Returns the same report without levels.
     *
     * @return a copy, which leaves a hearer's levels as they are
     */
    public LoadReport withoutLevels() {
        return new LoadReport(load, faults, List.of(), calls, calledByServers, retryGranted);
    }
}
