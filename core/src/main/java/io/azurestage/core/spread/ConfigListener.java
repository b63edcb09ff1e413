package io.azurestage.core.spread;

/**
 * Receives configuration versions and conflicts. Called on the thread that drives {@link
 * ConfigGossip}; implementations must return quickly and must not call back into it.
 */
public interface ConfigListener {

    /**
     * Called when a higher version has come into force at this node.
     *
     * @param record the version in force
     */
    default void onAdopted(ConfigRecord record) {}

    /**
     * Called when two versions with the same number are detected. The one with the higher change id
     * wins at every node; the other change is lost. Repeated detections of the same pair are not
     * reported in succession.
     *
     * @param winner the version that is or stays in force
     * @param loser the version that is rejected or replaced
     */
    default void onConflict(VersionId winner, VersionId loser) {}
}
