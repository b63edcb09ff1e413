package io.azurestage.core.spread;

/**
 * Decides when a newly started node may serve. A node that became ready stays ready for the rest of
 * its incarnation.
 */
public sealed interface ReadinessRule {
    /** Number of members to synchronise with if the store cannot be read. */
    int MIN_SYNCED = 3;

    /** The node may serve. */
    record Ready() implements ReadinessRule {}

    /**
     * The node must refuse requests.
     *
     * @param reason what the node waits for, as text for operators
     */
    record NotReady(String reason) implements ReadinessRule {}

    /**
     * State of a starting node that the decision depends on.
     *
     * @param storeRead whether the node has read the store since it started
     * @param hasConfig whether a configuration is in force
     * @param behind whether another node has announced a higher version that this node lacks
     * @param synced number of members that the node has synchronised with since it started
     * @param known number of other members that it considers alive
     */
    record Facts(boolean storeRead, boolean hasConfig, boolean behind, int synced, int known) {}

    /**
     * Decides whether a node may serve.
     *
     * <p>If it has not read the store, a node needs at least one other member: a node that knows no
     * member cannot tell an old configuration from the one in force.
     *
     * @param f state of the node
     * @return {@link Ready} if it may serve, otherwise {@link NotReady}
     */
    static ReadinessRule of(Facts f) {
        int required = Math.max(1, Math.min(MIN_SYNCED, f.known()));
        if (!f.storeRead() && f.synced() < required) {
            return new NotReady(
                    "the store has not been read, and only "
                            + f.synced()
                            + " of "
                            + required
                            + " required members have been synchronised");
        }
        if (!f.hasConfig()) {
            return new NotReady("no configuration is in force; push one");
        }
        if (f.behind()) {
            return new NotReady("another node holds a higher configuration version");
        }
        return new Ready();
    }
}
