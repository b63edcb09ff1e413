package io.azurestage.node;

/**
 * A TCP address.
 *
 * @param host IP address
 * @param port port, 0 for any free port when listening
 */
public record HostPort(String host, int port) {

    /**
     * Parses {@code host:port}.
     *
     * @param text the text
     * @return the address
     * @throws IllegalArgumentException if the text is not HOST:PORT with a numeric port
     */
    public static HostPort parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1) {
            throw new IllegalArgumentException("expected HOST:PORT, got \"" + text + "\"");
        }
        return new HostPort(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
