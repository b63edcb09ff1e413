package io.azurestage.node;

/** Cause with which a request is aborted after its caller has disconnected. */
final class CallerGoneException extends RuntimeException {
    private static final long serialVersionUID = 1;

    CallerGoneException() {
        super("the caller went away", null, false, false);
    }
}
