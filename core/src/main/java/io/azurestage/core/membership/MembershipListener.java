package io.azurestage.core.membership;

import java.time.Duration;

/**
 * Receives membership changes. Called on the thread that drives {@link Membership}; implementations
 * must return quickly and must not call back into it.
 */
public interface MembershipListener {

    /**
     * Called when the record of a member has been added or changed.
     *
     * @param before the previous record, null for a new member
     * @param after the current record, with liveness {@code DEAD} for a member declared dead
     */
    default void onChange(Member before, Member after) {}

    /**
     * Called when this node has refuted a claim that it is suspect or dead.
     *
     * @param self this node's record with its new revision
     */
    default void onRefuted(Member self) {}

    /**
     * Called when this node starts or stops considering itself isolated. An isolated node declares
     * no other member dead.
     *
     * @param isolated true if most of this node's probes fail
     */
    default void onIsolation(boolean isolated) {}

    /**
     * Called when this node detects that it was paused.
     *
     * @param pause length of the pause
     */
    default void onPaused(Duration pause) {}

    /**
     * Called once for each higher incarnation that another process announces under this node's id.
     * Other nodes ignore this process; it should stop, or restart with a higher incarnation.
     *
     * @param incarnation incarnation of the other process
     */
    default void onSuperseded(long incarnation) {}
}
