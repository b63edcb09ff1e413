package io.azurestage.node;

/** Aborts what is done for a caller that went away. */
final class CallerGoneException extends RuntimeException {
    private static final long serialVersionUID = 1;

    CallerGoneException() {
        super("the caller went away", null, false, false);
    }
}
