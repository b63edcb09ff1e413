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

/** The nodes of the mesh, discovered through the member lists of a few known nodes. */
final class Fleet implements AutoCloseable {
    static final String STATUS = "/azurestage/v1/status";

    /** Excludes the member list, which is most of the response in a large mesh. */
    static final String SHORT_STATUS = STATUS + "?members=false";

    /** Bounds open connections and the memory for responses. */
    private static final int MAX_CONCURRENT_CALLS = 64;

    private final NodeClient mClient;
    private final SortedMap<String, NodeRef> mNodes = new TreeMap<>();
    private long mHighestNumber;

    private Fleet(NodeClient client) {
        mClient = client;
    }

    /**
     * Discovers the mesh through the nodes given with {@code --node}.
     *
     * @throws CliException if none of them sends a valid status
     */
    static Fleet discover(Args args) {
        Fleet fleet = new Fleet(new NodeClient(args.timeout()));
        try {
            fleet.addNodes(args.nodes());
        } catch (CliException e) {
            fleet.close();
            throw e;
        }
        return fleet;
    }

    private void addNodes(List<String> addresses) {
        List<NodeResponse> responses = callAll(addresses, a -> mClient.get(a, STATUS));
        String fault = "";
        for (int i = 0; i < addresses.size(); i++) {
            NodeResponse response = responses.get(i);
            if (!response.isOk() || !response.body().path("nodeId").isTextual()) {
                fault = "node " + addresses.get(i) + " " + response.fault();
                continue;
            }
            for (JsonNode m : response.body().path("members")) {
                if (NodeRef.isPresent(m)) {
                    mNodes.putIfAbsent(m.path("nodeId").asText(), NodeRef.fromMember(m));
                }
            }
            mHighestNumber =
                    Math.max(mHighestNumber, response.body().path("configNumber").asLong());
            NodeRef self = NodeRef.fromStatus(response.body(), addresses.get(i));
            mNodes.put(self.nodeId(), self);
        }
        if (mNodes.isEmpty()) {
            throw new CliException(ExitCode.UNAVAILABLE, fault, "try another --node");
        }
    }

    /** Returns the highest configuration version that the nodes given with --node reported. */
    long highestNumber() {
        return mHighestNumber;
    }

    Collection<NodeRef> nodes() {
        return List.copyOf(mNodes.values());
    }

    /** Returns up to {@code count} nodes of each data centre, the first ones by node id. */
    List<NodeRef> firstNodesPerDataCentre(int count) {
        Map<String, Integer> counts = new TreeMap<>();
        return mNodes.values().stream()
                .filter(n -> counts.merge(n.dataCentre(), 1, Integer::sum) <= count)
                .toList();
    }

    /**
     * Sends a GET request to each node, at most {@link #MAX_CONCURRENT_CALLS} at a time. A failed
     * request yields a response with status 0.
     */
    Map<NodeRef, NodeResponse> get(Collection<NodeRef> nodes, String path) {
        return callNodes(nodes, n -> mClient.get(n.admin(), path));
    }

    Map<NodeRef, NodeResponse> post(
            Collection<NodeRef> nodes, String path, String body, String token) {
        return callNodes(nodes, n -> mClient.post(n.admin(), path, body, token));
    }

    private static Map<NodeRef, NodeResponse> callNodes(
            Collection<NodeRef> nodes, Function<NodeRef, CompletableFuture<NodeResponse>> request) {
        List<NodeRef> list = List.copyOf(nodes);
        List<NodeResponse> responses = callAll(list, request);
        Map<NodeRef, NodeResponse> all = new LinkedHashMap<>();
        for (int i = 0; i < list.size(); i++) {
            all.put(list.get(i), responses.get(i));
        }
        return all;
    }

    private static <T> List<NodeResponse> callAll(
            List<T> targets, Function<T, CompletableFuture<NodeResponse>> request) {
        NodeResponse[] responses = new NodeResponse[targets.size()];
        AtomicInteger next = new AtomicInteger();
        List<CompletableFuture<Void>> chains = new ArrayList<>();
        for (int i = 0; i < Math.min(MAX_CONCURRENT_CALLS, targets.size()); i++) {
            chains.add(callRemaining(targets, request, next, responses));
        }
        chains.forEach(CompletableFuture::join);
        return List.of(responses);
    }

    private static <T> CompletableFuture<Void> callRemaining(
            List<T> targets,
            Function<T, CompletableFuture<NodeResponse>> request,
            AtomicInteger next,
            NodeResponse[] responses) {
        int i = next.getAndIncrement();
        if (i >= targets.size()) {
            return CompletableFuture.completedFuture(null);
        }
        return request.apply(targets.get(i))
                .thenCompose(
                        response -> {
                            responses[i] = response;
                            return callRemaining(targets, request, next, responses);
                        });
    }

    @Override
    public void close() {
        mClient.close();
    }
}
