package io.azurestage.mesh;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Optional;

/** Parses {@code IP:PORT} addresses. Host names are rejected, so that parsing never queries DNS. */
public final class Address {
    private static final int MAX_PORT = 65_535;

    private Address() {}

    /**
     * Parses an address.
     *
     * @param address text of the form {@code IP:PORT}
     * @return the address, or empty if the text is not a valid address
     */
    public static Optional<InetSocketAddress> parse(String address) {
        int colon = address.lastIndexOf(':');
        if (colon < 0) {
            return Optional.empty();
        }
        InetAddress ip = NetUtil.createInetAddressFromIpAddressString(address.substring(0, colon));
        String digits = address.substring(colon + 1);
        if (ip == null || !digits.matches("[0-9]{1,5}")) {
            return Optional.empty();
        }
        int port = Integer.parseInt(digits);
        return port > MAX_PORT ? Optional.empty() : Optional.of(new InetSocketAddress(ip, port));
    }

    /**
     * Parses an address to connect to. Port 0, which stands for any port in an address to listen
     * on, is rejected.
     *
     * @param address text of the form {@code IP:PORT}
     * @return the address, or empty if the text is not a valid address of a peer
     */
    public static Optional<InetSocketAddress> parseRemote(String address) {
        return parse(address).filter(a -> a.getPort() != 0);
    }
}
