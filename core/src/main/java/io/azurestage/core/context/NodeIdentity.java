package io.azurestage.core.context;

/**
 * Identity of one incarnation of a node.
 *
 * @param nodeId node id from the settings, the same for all incarnations
 * @param incarnation number that changes at every start of the node
 */
public record NodeIdentity(String nodeId, long incarnation) {

    /** Implemented explicitly, because generated record methods are slow if only C1 compiles. */
    @Override
    public boolean equals(Object o) {
        return o instanceof NodeIdentity n
                && incarnation == n.incarnation
                && nodeId.equals(n.nodeId);
    }

    @Override
    public int hashCode() {
        return 31 * nodeId.hashCode() + Long.hashCode(incarnation);
    }
}
