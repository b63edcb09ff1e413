package io.azurestage.core.routing;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Rendezvous hashing: nodes with the same view make the same choice for a key, and a node that
 * joins or leaves changes few choices.
 */
public final class RendezvousHash {
    private static final long MULTIPLIER = 0x9E3779B97F4A7C15L;

    private RendezvousHash() {}

    /**
     * Returns the weight of a node for a key; the node with the highest weight is chosen.
     *
     * @param key what a node is chosen for
     * @param node id or address of a node
     * @return the weight, any number
     */
    public static long weight(String key, String node) {
        long hash = (key.hashCode() * MULTIPLIER) ^ (node.hashCode() * 0xC2B2AE3D27D4EB4FL);
        hash = (hash ^ hash >>> 31) * 0xBF58476D1CE4E5B9L;
        return hash ^ hash >>> 29;
    }

    /**
     * Chooses several nodes for a key.
     *
     * @param key what the nodes are chosen for
     * @param nodes ids or addresses of all nodes
     * @param count how many to choose
     * @return the chosen nodes, at most {@code count}, the highest weight first
     */
    public static List<String> choose(String key, Collection<String> nodes, int count) {
        return nodes.stream()
                .sorted(
                        Comparator.comparingLong((String n) -> weight(key, n))
                                .thenComparing(n -> n)
                                .reversed())
                .limit(count)
                .toList();
    }
}
