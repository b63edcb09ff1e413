package io.azurestage.node;

/** A node cannot start. The message names the setting and the remedy. */
public final class NodeStartException extends Exception {
    private static final long serialVersionUID = 1;

    /**
     * Creates the exception.
     *
     * @param message what is wrong and what to do
     * @param cause what the system said
     */
    public NodeStartException(String message, Throwable cause) {
        super(message, cause);
    }
}
