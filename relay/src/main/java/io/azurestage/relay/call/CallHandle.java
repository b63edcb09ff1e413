package io.azurestage.relay.call;

/** An attempt in progress. */
@FunctionalInterface
public interface CallHandle {

    /**
     * The caller has gone: the attempt is ended where it may be, and its listener hears nothing.
     */
    void cancel();
}
