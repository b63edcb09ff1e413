package io.azurestage.cli;

import com.fasterxml.jackson.databind.JsonNode;
import io.azurestage.config.AcceptedConfig;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;

/** Hands an accepted version to nodes and counts where it is in force. */
final class Rollout {
    /** Several in each data centre, so that one failed node does not delay the spread. */
    static final int NODES_PER_DATA_CENTRE = 3;

    /** An accepted version is in force everywhere within this time. */
    static final Duration LIMIT = Duration.ofSeconds(4);

    private static final Duration PAUSE = Duration.ofMillis(100);

    private final Fleet mFleet;
    private final CliContext mContext;

    Rollout(Fleet fleet, CliContext context) {
        mFleet = fleet;
        mContext = context;
    }

    /**
     * Where a record is.
     *
     * @param faults nodes that did not take it, of those that it was sent to, with the reason
     * @param asked number of nodes that it was sent to
     * @param behind nodes that do not report it in force
     * @param nodes number of all nodes
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
     * Returns the highest version number that the named nodes and a few of each data centre report.
     */
    long highestNumber() {
        return mFleet
                .get(mFleet.firstNodesPerDataCentre(NODES_PER_DATA_CENTRE), Fleet.SHORT_STATUS)
                .values()
                .stream()
                .mapToLong(a -> a.body().path("configNumber").asLong())
                .reduce(mFleet.highestNumber(), Math::max);
    }

    Result distribute(AcceptedConfig record, String token) {
        long start = mContext.time().nanos();
        List<NodeRef> first = mFleet.firstNodesPerDataCentre(NODES_PER_DATA_CENTRE);
        Map<NodeRef, NodeResponse> answers =
                mFleet.post(first, "/azurestage/v1/config", record.toJson(), token);
        List<String> faults = new ArrayList<>();
        answers.forEach(
                (node, answer) -> {
                    if (!answer.isOk()) {
                        faults.add("node " + node.nodeId() + " " + answer.fault());
                    }
                });
        Collection<NodeRef> all = mFleet.nodes();
        List<NodeRef> behind = behind(all, record);
        while (!behind.isEmpty() && mContext.time().nanos() - start < LIMIT.toNanos()) {
            mContext.sleep().accept(PAUSE);
            behind = behind(behind, record);
        }
        return new Result(
                faults, first.size(), behind.stream().map(NodeRef::nodeId).toList(), all.size());
    }

    private List<NodeRef> behind(Collection<NodeRef> nodes, AcceptedConfig record) {
        List<NodeRef> behind = new ArrayList<>();
        mFleet.get(nodes, Fleet.SHORT_STATUS)
                .forEach(
                        (node, answer) -> {
                            if (!isInForce(answer.body(), record)) {
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
