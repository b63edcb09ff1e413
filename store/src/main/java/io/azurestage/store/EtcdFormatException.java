package io.azurestage.store;

/** An answer is not of the form that etcd's API describes. */
final class EtcdFormatException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    EtcdFormatException(String message) {
        super(message);
    }
}
