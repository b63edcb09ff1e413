package io.azurestage.core.quota;

import io.azurestage.core.routing.RendezvousHash;
import java.util.Collection;
import java.util.List;
import java.util.Optional;

/**
 * Chooses the owner of a partner among the known nodes by rendezvous hashing: nodes with the same
 * view choose the same owner, and a node that joins or leaves changes the owners of few partners.
 * Immutable.
 */
public final class QuotaOwners {
    private final List<String> mNodes;

    /**
     * Creates a choice among nodes.
     *
     * @param nodes ids or addresses of the nodes
     */
    public QuotaOwners(Collection<String> nodes) {
        mNodes = List.copyOf(nodes);
    }

    /**
     * Returns the number of nodes.
     *
     * @return the number of known nodes
     */
    public int nodes() {
        return mNodes.size();
    }

    /**
     * Returns the owner of a partner.
     *
     * @param partner name of the partner
     * @return the owner, or empty if no node is known
     */
    public Optional<String> ownerOf(String partner) {
        String owner = null;
        long highest = 0;
        for (String node : mNodes) {
            long weight = RendezvousHash.weight(partner, node);
            boolean higher =
                    owner == null
                            || weight > highest
                            || weight == highest && node.compareTo(owner) > 0;
            if (higher) {
                owner = node;
                highest = weight;
            }
        }
        return Optional.ofNullable(owner);
    }
}
