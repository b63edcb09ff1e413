package io.azurestage.relay.call;

/** Handle for cancelling an attempt in progress. */
@FunctionalInterface
public interface CallHandle {

    /**
     * Cancels the attempt because the caller has disconnected. A request that has started and is
     * not idempotent still runs to its end; the listener must ignore a result that still arrives.
     */
    void cancel();

    /**
     * Ends the attempt without a result if it has not been sent to a backend server.
     *
     * @return whether the attempt has ended and will never run
     */
    default boolean withdraw() {
        return false;
    }
}
