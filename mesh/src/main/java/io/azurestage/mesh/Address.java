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
        if (ip == null || !digits.matches("[0-9]{1,5}") || Integer.parseInt(digits) > MAX_PORT) {
            return Optional.empty();
        }
        return Optional.of(new InetSocketAddress(ip, Integer.parseInt(digits)));
    }
}
