package io.azurestage.relay.call;

/** Receives the result of an attempt. Called at most once, on the event loop. */
@FunctionalInterface
public interface CallListener {

    /**
     * Called when the attempt has ended.
     *
     * @param result how the attempt ended
     * @param load load of the backend server and of the services downstream
     */
    void done(CallResult result, LoadReport load);
}
