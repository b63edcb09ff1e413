package io.azurestage.relay.link;

/** Receives state changes of a link. */
@FunctionalInterface
public interface LinkStateListener {

    /**
     * Called when a link has come up or gone down.
     *
     * @param address the peer's link address
     * @param up whether the link is up
     * @param reason cause of the change, for the event log
     */
    void onStateChanged(String address, boolean up, String reason);
}
