package io.azurestage.mesh;

/** Thrown when the control port cannot be opened. The message names the address and the remedy. */
public final class MeshStartException extends RuntimeException {
    private final String mAddress;

    MeshStartException(String address, String remedy, Throwable cause) {
        super("cannot open the control address " + address + ": " + remedy, cause);
        mAddress = address;
    }

    /**
     * Returns the address that could not be opened.
     *
     * @return {@code host:port}
     */
    public String address() {
        return mAddress;
    }
}
