package io.azurestage.core.spread;

/** When a newly started node may serve. Once it may, it may for the rest of its incarnation. */
public sealed interface ReadinessRule {
    /** Members to synchronise with when the store cannot be read. */
    int MIN_SYNCED = 3;

    /** The node may serve. */
    record Ready() implements ReadinessRule {}

    /**
     * The node must refuse requests.
     *
     * @param reason what it waits for, for operators
     */
    record NotReady(String reason) implements ReadinessRule {}

    /**
     * What a node knows about its start.
     *
     * @param storeRead whether it has read the store since it started
     * @param hasConfig whether a configuration is in force
     * @param behind whether another node showed a higher version that it lacks
     * @param synced members it synchronised with since it started
     * @param known other members that are alive in its view
     */
    record Facts(boolean storeRead, boolean hasConfig, boolean behind, int synced, int known) {}

    /**
     * Decides.
     *
     * <p>Without the store, a node needs at least one other member: a node that knows nobody cannot
     * tell an old configuration from the one in force.
     *
     * @param f what the node knows
     * @return whether it may serve
     */
    static ReadinessRule of(Facts f) {
        int needed = Math.max(1, Math.min(MIN_SYNCED, f.known()));
        if (!f.storeRead() && f.synced() < needed) {
            return new NotReady(
                    "the store was not read, and only "
                            + f.synced()
                            + " of "
                            + needed
                            + " members were synchronised");
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
