package io.azurestage.core.membership;

import java.time.Duration;

/**
 * Receives changes of the membership. Called on the thread that drives {@link Membership}; a
 * listener must return quickly and must not call back into it.
 */
public interface MembershipListener {

    /**
     * Called when a member appeared or its state, liveness or incarnation changed.
     *
     * @param before the earlier record, null for a new member
     * @param after the record in force, with liveness {@code DEAD} for a member taken for dead
     */
    default void onChange(Member before, Member after) {}

    /**
     * Called when this node refuted a claim that it is suspect or dead.
     *
     * @param self this node's record with its new revision
     */
    default void onRefuted(Member self) {}

    /**
     * Called when this node starts or stops to consider itself isolated. An isolated node declares
     * no other member dead.
     *
     * @param isolated true when most of this node's probes fail
     */
    default void onIsolation(boolean isolated) {}

    /**
     * Called when this node found that it had been paused.
     *
     * @param pause length of the pause
     */
    default void onPaused(Duration pause) {}

    /**
     * Called when another process announces this node's id with a higher incarnation. This process
     * is ignored by the others; it should stop, or restart with a higher incarnation.
     *
     * @param incarnation the other process's incarnation
     */
    default void onSuperseded(long incarnation) {}
}
