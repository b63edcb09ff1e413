package io.azurestage.relay.http;

/** A request that awaits its response. Not thread-safe; use it on the event loop only. */
public interface Exchange {

    /**
     * Sends the response. Further responses, and responses after the client has disconnected, are
     * ignored.
     *
     * @param reply the response
     */
    void reply(Reply reply);

    /** Closes the connection without a response. */
    void abort();

    /**
     * Sets the action for a client that disconnects before the response is sent.
     *
     * @param action runs at most once
     */
    void onGone(Runnable action);
}
