package io.azurestage.relay.call;

/** Runs attempts on one backend server: the local one, or the one beside another node. */
@FunctionalInterface
public interface CallTarget {

    /**
     * Starts an attempt.
     *
     * @param spec the request
     * @param listener receives the result
     * @return a handle for cancelling the attempt
     */
    CallHandle start(CallSpec spec, CallListener listener);
}
