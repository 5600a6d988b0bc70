package org.micabarrow.transport;

import java.net.InetSocketAddress;
import java.util.Objects;

/** Parses addresses of the form {@code host:port}. */
public final class Addresses {

    private Addresses() {}

    /**
     * Resolves the host of an address to its IP address, which other processes see as the sender of messages.
     *
     * @param address the host and port
     * @return the IP address and port; the same address if its host cannot be resolved
     */
    public static String numeric(String address) {
        InetSocketAddress parsed = parse(address);
        return parsed.isUnresolved() ? address : parsed.getAddress().getHostAddress() + ":" + parsed.getPort();
    }

    /**
     * Parses an address.
     *
     * @param address the host and port
     * @return the address
     * @throws IllegalArgumentException if there is no port
     */
    public static InetSocketAddress parse(String address) {
        Objects.requireNonNull(address, "address is null");
        int colon = address.lastIndexOf(':');
        if (colon < 0) {
            throw new IllegalArgumentException(address + " is not of the form host:port");
        }
        String host = address.substring(0, colon).replace("[", "").replace("]", "");
        return new InetSocketAddress(host, Integer.parseInt(address.substring(colon + 1)));
    }
}
