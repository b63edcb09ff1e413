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
     * @throws IllegalArgumentException if the text has another form
     */
    public static HostPort parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1) {
            throw new IllegalArgumentException("write HOST:PORT, not \"" + text + "\"");
        }
        return new HostPort(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
