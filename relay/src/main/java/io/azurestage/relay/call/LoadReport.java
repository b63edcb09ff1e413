package io.azurestage.relay.call;

import io.azurestage.core.admission.ServiceLevel;
import java.util.List;

/**
 * Load of a backend server and of the services downstream, sent with each result.
 *
 * @param load ratio of running and queued requests to the slots, negative if unknown
 * @param faultRate fraction of its requests that the server fails or refuses, in [0,1]
 * @param levels admitted fractions by service and work class; empty if they are not reported
 * @param callsPerRequest average number of calls that one request of this operation causes,
 *     directly or further downstream
 * @param calledByServers whether backend servers, rather than clients, call this operation
 * @param diverted fraction of the requests for this server that should be placed on others, in
 *     [0,1]
 * @param retryGranted whether the node has charged another attempt at the same request to its retry
 *     budget
 */
public record LoadReport(
        double load,
        double faultRate,
        List<ServiceLevel> levels,
        double callsPerRequest,
        boolean calledByServers,
        double diverted,
        boolean retryGranted) {
    /** Report without any information. */
    public static final LoadReport UNKNOWN = new LoadReport(-1, 0, List.of(), 0, false, 0, false);

    /** Copies the list of levels. */
    public LoadReport {
        levels = List.copyOf(levels);
    }

    /**
     * Returns a copy with the retry marked as granted.
     *
     * @return the copy
     */
    public LoadReport withRetryGranted() {
        return new LoadReport(
                load, faultRate, levels, callsPerRequest, calledByServers, diverted, true);
    }

    /**
     * Returns a copy without levels.
     *
     * @return the copy, which leaves the levels known to the receiver unchanged
     */
    public LoadReport withoutLevels() {
        return new LoadReport(
                load,
                faultRate,
                List.of(),
                callsPerRequest,
                calledByServers,
                diverted,
                retryGranted);
    }
}
