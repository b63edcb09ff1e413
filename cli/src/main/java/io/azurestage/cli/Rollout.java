package io.azurestage.cli;

import com.fasterxml.jackson.databind.JsonNode;
import io.azurestage.config.AcceptedConfig;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;

/** Sends an accepted version to some nodes and polls all nodes until it is in force. */
final class Rollout {
    /** More than one, so that a failed node does not delay the distribution in its data centre. */
    static final int NODES_PER_DATA_CENTRE = 3;

    /** Time within which an accepted version must be in force at all nodes. */
    static final Duration TIMEOUT = Duration.ofSeconds(4);

    private static final Duration POLL_INTERVAL = Duration.ofMillis(100);

    private final Fleet mFleet;
    private final CliContext mContext;

    Rollout(Fleet fleet, CliContext context) {
        mFleet = fleet;
        mContext = context;
    }

    /**
     * Outcome of a rollout.
     *
     * @param faults a message for each node that the version was sent to and that did not accept it
     * @param asked number of nodes that the version was sent to
     * @param behind ids of the nodes that did not report it in force
     * @param nodes total number of nodes
     */
    record Result(List<String> faults, int asked, List<String> behind, int nodes) {
        int handed() {
            return asked - faults.size();
        }

        int inForce() {
            return nodes - behind.size();
        }
    }

    /**
     * Returns the highest version number that the nodes given with {@code --node} and some nodes of
     * each data centre report.
     */
    long highestNumber() {
        return mFleet
                .get(mFleet.firstNodesPerDataCentre(NODES_PER_DATA_CENTRE), Fleet.SHORT_STATUS)
                .values()
                .stream()
                .mapToLong(a -> a.body().path("configNumber").asLong())
                .reduce(mFleet.highestNumber(), Math::max);
    }

    /**
     * Sends the version to some nodes of each data centre, which pass it on, and polls all nodes
     * until it is in force everywhere or {@link #TIMEOUT} has passed.
     */
    Result distribute(AcceptedConfig record, String token) {
        long start = mContext.time().nanos();
        List<NodeRef> targets = mFleet.firstNodesPerDataCentre(NODES_PER_DATA_CENTRE);
        Map<NodeRef, NodeResponse> responses =
                mFleet.post(targets, "/azurestage/v1/config", record.toJson(), token);
        List<String> faults = new ArrayList<>();
        responses.forEach(
                (node, response) -> {
                    if (!response.isOk()) {
                        faults.add("node " + node.nodeId() + " " + response.fault());
                    }
                });
        Collection<NodeRef> all = mFleet.nodes();
        List<NodeRef> behind = behind(all, record);
        while (!behind.isEmpty() && mContext.time().nanos() - start < TIMEOUT.toNanos()) {
            mContext.sleep().accept(POLL_INTERVAL);
            behind = behind(behind, record);
        }
        return new Result(
                faults, targets.size(), behind.stream().map(NodeRef::nodeId).toList(), all.size());
    }

    private List<NodeRef> behind(Collection<NodeRef> nodes, AcceptedConfig record) {
        List<NodeRef> behind = new ArrayList<>();
        mFleet.get(nodes, Fleet.SHORT_STATUS)
                .forEach(
                        (node, response) -> {
                            if (!isInForce(response.body(), record)) {
                                behind.add(node);
                            }
                        });
        return behind;
    }

    private static boolean isInForce(JsonNode status, AcceptedConfig record) {
        return status.path("configNumber").asLong() > record.number()
                || status.path("configChangeId").asText().equals(record.changeId());
    }
}
