package org.micabarrow.transport;

import java.net.InetSocketAddress;
import java.util.Objects;

/** Reads addresses of the form {@code host:port}. */
public final class Addresses {

    private Addresses() {}

    /**
     * An address by its IP number, as others see where messages come from.
     *
     * @param address the host and port
     * @return the number and port; the same address if its host has none
     */
    public static String numeric(String address) {
        InetSocketAddress parsed = parse(address);
        return parsed.isUnresolved() ? address : parsed.getAddress().getHostAddress() + ":" + parsed.getPort();
    }

    /**
     * Reads an address.
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
