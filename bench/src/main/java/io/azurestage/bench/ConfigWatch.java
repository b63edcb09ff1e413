package io.azurestage.bench;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Records when each node first reported each configuration number. Thread-safe. */
final class ConfigWatch {
    private final Map<String, TreeMap<Long, Long>> mFirstSeen = new HashMap<>();
    private final Map<String, Long> mLast = new HashMap<>();
    private int mReverts;

    /** Records the configuration number that a node incarnation reported at a wall-clock time. */
    synchronized void observe(String incarnation, long number, long millis) {
        if (number < mLast.getOrDefault(incarnation, 0L)) {
            mReverts++;
        }
        mLast.put(incarnation, number);
        mFirstSeen.computeIfAbsent(incarnation, id -> new TreeMap<>()).putIfAbsent(number, millis);
    }

    /** Records the configuration numbers in the status responses of nodes. */
    void observe(Map<NodeEndpoints, JsonNode> statuses, long millis) {
        statuses.forEach(
                (node, status) -> observe(key(node), status.path("configNumber").asLong(), millis));
    }

    /**
     * Returns how often a node reported a lower configuration number than in its previous report.
     */
    synchronized int reverts() {
        return mReverts;
    }

    /**
     * Returns the time in milliseconds from the acceptance of a version until every node reported
     * it or a later one, or -1 if some node has not reported it yet.
     */
    synchronized long spreadMs(long number, long acceptedMillis, Collection<NodeEndpoints> nodes) {
        return spreadMs(number, acceptedMillis, nodes.stream().map(ConfigWatch::key).toList());
    }

    synchronized long spreadMs(long number, long acceptedMillis, List<String> incarnations) {
        long lastMillis = acceptedMillis;
        for (String incarnation : incarnations) {
            TreeMap<Long, Long> firstSeen = mFirstSeen.getOrDefault(incarnation, new TreeMap<>());
            if (firstSeen.tailMap(number).isEmpty()) {
                return -1;
            }
            lastMillis =
                    Math.max(
                            lastMillis,
                            firstSeen.tailMap(number).values().stream()
                                    .mapToLong(Long::longValue)
                                    .min()
                                    .orElseThrow());
        }
        return lastMillis - acceptedMillis;
    }

    private static String key(NodeEndpoints node) {
        return node.nodeId() + "@" + node.admin();
    }
}
