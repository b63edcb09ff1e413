package io.azurestage.bench;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Notes which configuration number each node reports, and when first. Thread-safe. */
final class ConfigWatch {
    private final Map<String, TreeMap<Long, Long>> mFirstSeen = new HashMap<>();
    private final Map<String, Long> mLast = new HashMap<>();
    private int mReverts;

    /** Takes what a node incarnation reports at a time. */
    synchronized void observe(String incarnation, long number, long millis) {
        if (number < mLast.getOrDefault(incarnation, 0L)) {
            mReverts++;
        }
        mLast.put(incarnation, number);
        mFirstSeen.computeIfAbsent(incarnation, id -> new TreeMap<>()).putIfAbsent(number, millis);
    }

    /** Takes the status of each node that answers. */
    void observe(Map<NodeEndpoints, JsonNode> statuses, long millis) {
        statuses.forEach(
                (node, status) -> observe(key(node), status.path("configNumber").asLong(), millis));
    }

    /** Returns how often a node reported a lower number than before. */
    synchronized int reverts() {
        return mReverts;
    }

    /**
     * Returns the time from the acceptance of a version to the moment when all nodes have reported
     * it or a later one, in milliseconds, or -1 if one of them has not.
     */
    synchronized long spreadMs(long number, long acceptedMillis, Collection<NodeEndpoints> nodes) {
        return spreadMs(number, acceptedMillis, nodes.stream().map(ConfigWatch::key).toList());
    }

    synchronized long spreadMs(long number, long acceptedMillis, List<String> incarnations) {
        long last = acceptedMillis;
        for (String incarnation : incarnations) {
            TreeMap<Long, Long> seen = mFirstSeen.getOrDefault(incarnation, new TreeMap<>());
            if (seen.tailMap(number).isEmpty()) {
                return -1;
            }
            last =
                    Math.max(
                            last,
                            seen.tailMap(number).values().stream()
                                    .mapToLong(Long::longValue)
                                    .min()
                                    .orElseThrow());
        }
        return last - acceptedMillis;
    }

    private static String key(NodeEndpoints node) {
        return node.nodeId() + "@" + node.admin();
    }
}
