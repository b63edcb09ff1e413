package io.azurestage.core.spread;

/**
 * Receives configuration versions. Called on the thread that drives {@link ConfigSpread}; a
 * listener must return quickly and must not call back into it.
 */
public interface SpreadListener {

    /**
     * Called when a higher version came into force at this node.
     *
     * @param record the version in force
     */
    default void onAdopted(ConfigRecord record) {}

    /**
     * Called once for each pair of versions with the same number. The one with the higher change id
     * wins at every node; the other change is lost.
     *
     * @param winner the version that stays in force
     * @param loser the version that is refused or replaced
     */
    default void onConflict(VersionId winner, VersionId loser) {}
}
