package io.azurestage.node;

/** A request was given up because the node holds too many bytes of its callers. */
final class TooManyHeldBytesException extends Exception {
    private static final long serialVersionUID = 1;

    TooManyHeldBytesException() {
        super("the node holds too many bytes of requests; send the request again later");
    }
}
