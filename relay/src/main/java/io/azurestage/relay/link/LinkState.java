package io.azurestage.relay.link;

/** Hears about the state of a link. */
@FunctionalInterface
public interface LinkState {

    /**
     * The link came up or went down.
     *
     * @param address the other node's address
     * @param up whether it is up
     * @param reason why
     */
    void changed(String address, boolean up, String reason);
}
