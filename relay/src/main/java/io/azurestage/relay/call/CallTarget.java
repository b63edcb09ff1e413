package io.azurestage.relay.call;

/** Takes attempts for one backend server: this node's own one, or one beside another node. */
@FunctionalInterface
public interface CallTarget {

    /**
     * Starts an attempt.
     *
     * @param spec the request
     * @param listener hears the result
     * @return the attempt
     */
    CallHandle start(CallSpec spec, CallListener listener);
}
