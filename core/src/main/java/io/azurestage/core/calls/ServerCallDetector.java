package io.azurestage.core.calls;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Distinguishes operations that are called by servers from those used by clients. Clients are
 * spread over all nodes, so the nodes of each service send a part of the client requests about
 * proportional to their number. An operation called by the servers of one service arrives almost
 * only from the nodes of that service. Not thread-safe.
 */
public final class ServerCallDetector {
    /** Requests needed for a decision; with fewer, large shares occur by chance. */
    private static final double MIN_REQUESTS = 40;

    /** Minimum ratio of a service's share of the requests to its share of the nodes. */
    private static final double MIN_CONCENTRATION = 2;

    /**
     * Cap on a service's share of the nodes. It keeps the required share of the requests below 1,
     * so that a service with about half of the nodes or more can still be detected.
     */
    private static final double MAX_NODE_SHARE = 0.48;

    /** Count at which the counts of an operation are halved, so that recent requests dominate. */
    private static final double MAX_COUNT = 400;

    private static final int MAX_OPERATIONS = 4_096;

    private static final class Counts {
        private final Map<String, Double> mByService = new HashMap<>();
        private double mTotal;
    }

    private final Map<String, Counts> mCountsByOperation = new HashMap<>();
    private final Set<String> mAssumedCalledByServers = new HashSet<>();

    /**
     * Assumes that servers call an operation, until enough requests have been counted to decide.
     *
     * @param operation the operation
     */
    public void assumeCalledByServers(String operation) {
        if (mAssumedCalledByServers.size() < MAX_OPERATIONS) {
            mAssumedCalledByServers.add(operation);
        }
    }

    /**
     * Counts a request.
     *
     * @param operation its operation
     * @param callerService service of the VM from which it was sent
     */
    public void recordRequest(String operation, String callerService) {
        if (mCountsByOperation.size() >= MAX_OPERATIONS) {
            mCountsByOperation.clear();
        }
        Counts c = mCountsByOperation.computeIfAbsent(operation, k -> new Counts());
        c.mByService.merge(callerService, 1.0, Double::sum);
        c.mTotal++;
        if (c.mTotal > MAX_COUNT) {
            c.mByService.replaceAll((s, n) -> n / 2);
            c.mTotal /= 2;
        }
    }

    /**
     * Reports whether servers call an operation.
     *
     * @param operation the operation
     * @param nodesByService number of nodes by service
     * @return true if the share of one service in the requests is far above its share of the nodes
     */
    public boolean isCalledByServers(String operation, Map<String, Integer> nodesByService) {
        Counts c = mCountsByOperation.get(operation);
        if (c == null || c.mTotal < MIN_REQUESTS) {
            return mAssumedCalledByServers.contains(operation);
        }
        int nodes = 0;
        for (int n : nodesByService.values()) {
            nodes += n;
        }
        if (nodes == 0) {
            return mAssumedCalledByServers.contains(operation);
        }
        for (Map.Entry<String, Double> e : c.mByService.entrySet()) {
            double nodeShare = nodesByService.getOrDefault(e.getKey(), 0) / (double) nodes;
            double requiredShare = Math.min(MAX_NODE_SHARE, nodeShare) * MIN_CONCENTRATION;
            if (nodeShare > 0 && e.getValue() / c.mTotal >= requiredShare) {
                return true;
            }
        }
        return false;
    }
}
