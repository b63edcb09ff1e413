package io.azurestage.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;

/** The nodes of the mesh, learned from a few of them. */
final class Fleet implements AutoCloseable {
    static final String STATUS = "/azurestage/v1/status";

    /** Leaves out the member list, which is most of the answer in a large mesh. */
    static final String SHORT_STATUS = STATUS + "?members=false";

    /** Bounds the open connections and the memory for answers. */
    private static final int CALLS_AT_ONCE = 64;

    private final NodeClient mClient;
    private final SortedMap<String, NodeRef> mNodes = new TreeMap<>();
    private long mHighestNumber;

    private Fleet(NodeClient client) {
        mClient = client;
    }

    /**
     * Asks the named nodes for their members.
     *
     * @throws CliException if none of them answers
     */
    static Fleet discover(Args args) {
        Fleet fleet = new Fleet(new NodeClient(args.timeout()));
        try {
            fleet.learn(args.nodes());
        } catch (CliException e) {
            fleet.close();
            throw e;
        }
        return fleet;
    }

    private void learn(List<String> addresses) {
        List<NodeResponse> answers = call(addresses, a -> mClient.get(a, STATUS));
        String fault = "";
        for (int i = 0; i < addresses.size(); i++) {
            NodeResponse answer = answers.get(i);
            if (!answer.isOk() || !answer.body().path("nodeId").isTextual()) {
                fault = "node " + addresses.get(i) + " " + answer.fault();
                continue;
            }
            for (JsonNode m : answer.body().path("members")) {
                if (NodeRef.isPresent(m)) {
                    mNodes.putIfAbsent(m.path("nodeId").asText(), NodeRef.member(m));
                }
            }
            mHighestNumber = Math.max(mHighestNumber, answer.body().path("configNumber").asLong());
            NodeRef self = NodeRef.self(answer.body(), addresses.get(i));
            mNodes.put(self.nodeId(), self);
        }
        if (mNodes.isEmpty()) {
            throw new CliException(ExitCode.UNAVAILABLE, fault, "name another --node");
        }
    }

    /** Returns the highest version number that the named nodes reported. */
    long highestNumber() {
        return mHighestNumber;
    }

    Collection<NodeRef> nodes() {
        return List.copyOf(mNodes.values());
    }

    /** Returns the first few nodes of each data centre. */
    List<NodeRef> firstNodesPerDataCentre(int count) {
        Map<String, Integer> taken = new TreeMap<>();
        return mNodes.values().stream()
                .filter(n -> taken.merge(n.dataCentre(), 1, Integer::sum) <= count)
                .toList();
    }

    /** Asks nodes at once, a bounded number at a time. */
    Map<NodeRef, NodeResponse> get(Collection<NodeRef> nodes, String path) {
        return ask(nodes, n -> mClient.get(n.admin(), path));
    }

    Map<NodeRef, NodeResponse> post(
            Collection<NodeRef> nodes, String path, String body, String token) {
        return ask(nodes, n -> mClient.post(n.admin(), path, body, token));
    }

    private static Map<NodeRef, NodeResponse> ask(
            Collection<NodeRef> nodes, Function<NodeRef, CompletableFuture<NodeResponse>> call) {
        List<NodeRef> list = List.copyOf(nodes);
        List<NodeResponse> answers = call(list, call);
        Map<NodeRef, NodeResponse> all = new LinkedHashMap<>();
        for (int i = 0; i < list.size(); i++) {
            all.put(list.get(i), answers.get(i));
        }
        return all;
    }

    private static <T> List<NodeResponse> call(
            List<T> targets, Function<T, CompletableFuture<NodeResponse>> call) {
        NodeResponse[] answers = new NodeResponse[targets.size()];
        AtomicInteger next = new AtomicInteger();
        List<CompletableFuture<Void>> lanes = new ArrayList<>();
        for (int i = 0; i < Math.min(CALLS_AT_ONCE, targets.size()); i++) {
            lanes.add(lane(targets, call, next, answers));
        }
        lanes.forEach(CompletableFuture::join);
        return List.of(answers);
    }

    private static <T> CompletableFuture<Void> lane(
            List<T> targets,
            Function<T, CompletableFuture<NodeResponse>> call,
            AtomicInteger next,
            NodeResponse[] answers) {
        int i = next.getAndIncrement();
        if (i >= targets.size()) {
            return CompletableFuture.completedFuture(null);
        }
        return call.apply(targets.get(i))
                .thenCompose(
                        answer -> {
                            answers[i] = answer;
                            return lane(targets, call, next, answers);
                        });
    }

    @Override
    public void close() {
        mClient.close();
    }
}
