package io.azurestage.core.calls;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Tells operations that servers call from those that clients use. Clients are spread over all
 * nodes, so each service's nodes send about their part of the clients' requests; an operation that
 * servers of one service call comes almost only from that service's nodes. Not thread-safe.
 */
public final class CallerShares {
    /** Requests after which the shares are judged; fewer show large shares by chance. */
    private static final double ENOUGH = 40;

    /** How many times its part of the nodes a service must send. */
    private static final double CONCENTRATION = 2;

    /** A service that sends nearly all has at most this part of the nodes for the test to work. */
    private static final double MAX_NODE_PART = 0.48;

    private static final double MOST_COUNTED = 400;
    private static final int MAX_OPERATIONS = 4_096;

    private static final class Counts {
        private final Map<String, Double> mByService = new HashMap<>();
        private double mSum;
    }

    private final Map<String, Counts> mOperations = new HashMap<>();
    private final Set<String> mAssumed = new HashSet<>();

    /**
     * Takes servers to call an operation until enough requests show whether they do.
     *
     * @param operation the operation
     */
    public void assume(String operation) {
        if (mAssumed.size() < MAX_OPERATIONS) {
            mAssumed.add(operation);
        }
    }

    /**
     * Counts a request.
     *
     * @param operation its operation
     * @param callerService service of the VM where it began
     */
    public void count(String operation, String callerService) {
        if (mOperations.size() >= MAX_OPERATIONS) {
            mOperations.clear();
        }
        Counts c = mOperations.computeIfAbsent(operation, k -> new Counts());
        c.mByService.merge(callerService, 1.0, Double::sum);
        c.mSum++;
        if (c.mSum > MOST_COUNTED) {
            c.mByService.replaceAll((s, n) -> n / 2);
            c.mSum /= 2;
        }
    }

    /**
     * Reports whether servers call an operation.
     *
     * @param operation the operation
     * @param nodesByService number of nodes by service
     * @return true if one service sends far more than its nodes' part
     */
    public boolean isCalledByServers(String operation, Map<String, Integer> nodesByService) {
        Counts c = mOperations.get(operation);
        if (c == null || c.mSum < ENOUGH) {
            return mAssumed.contains(operation);
        }
        int nodes = 0;
        for (int n : nodesByService.values()) {
            nodes += n;
        }
        if (nodes == 0) {
            return mAssumed.contains(operation);
        }
        for (Map.Entry<String, Double> e : c.mByService.entrySet()) {
            double part = nodesByService.getOrDefault(e.getKey(), 0) / (double) nodes;
            double expected = Math.min(MAX_NODE_PART, part) * CONCENTRATION;
            if (part > 0 && e.getValue() / c.mSum >= expected) {
                return true;
            }
        }
        return false;
    }
}
