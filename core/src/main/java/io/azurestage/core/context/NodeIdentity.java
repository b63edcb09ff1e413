package io.azurestage.core.context;

/**
 * One incarnation of a node.
 *
 * @param nodeId stable name from the settings
 * @param incarnation number that is new at every start
 */
public record NodeIdentity(String nodeId, long incarnation) {

    /** Written out, because generated methods of records are slow where only C1 compiles. */
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
