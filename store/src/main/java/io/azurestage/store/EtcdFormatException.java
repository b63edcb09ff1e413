package io.azurestage.store;

/** Thrown if a response does not conform to etcd's API. */
final class EtcdFormatException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    EtcdFormatException(String message) {
        super(message);
    }
}
