package io.azurestage.core.backend;

/** Receives which backend servers leave or have left. */
@FunctionalInterface
public interface LeaveListener {

    /**
     * Called for a server that has announced that it leaves, or has deregistered.
     *
     * @param serverId id of the server
     * @param startedAtMillis start time of the server, which is its incarnation, in epoch
     *     milliseconds
     */
    void left(String serverId, long startedAtMillis);
}
