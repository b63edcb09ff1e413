package io.azurestage.relay.call;

/** Hears the result of an attempt once, on the event loop. */
@FunctionalInterface
public interface CallListener {

    /**
     * The attempt has ended.
     *
     * @param result how
     * @param load state of the backend server
     */
    void done(CallResult result, LoadReport load);
}
