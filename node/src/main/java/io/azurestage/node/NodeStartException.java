package io.azurestage.node;

/** A node failed to start. The message tells what failed and, for a port, the setting to change. */
public final class NodeStartException extends Exception {
    private static final long serialVersionUID = 1;

    /**
     * Creates the exception.
     *
     * @param message what failed and how to correct it
     * @param cause underlying exception
     */
    public NodeStartException(String message, Throwable cause) {
        super(message, cause);
    }
}
