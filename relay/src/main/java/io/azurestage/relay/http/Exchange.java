package io.azurestage.relay.http;

/** A request that waits for its answer. Used on the event loop only. */
public interface Exchange {

    /**
     * Answers the request. Further answers, and answers after the caller has gone, are ignored.
     *
     * @param reply the answer
     */
    void reply(Reply reply);

    /** Closes the connection without an answer. */
    void abort();

    /**
     * Sets what happens when the caller goes away before the answer.
     *
     * @param action runs at most once
     */
    void onGone(Runnable action);
}
