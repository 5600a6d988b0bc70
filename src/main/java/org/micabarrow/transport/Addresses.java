package org.micabarrow.transport;

import java.net.InetSocketAddress;
import java.util.Objects;

/** Reads addresses of the form {@code host:port}. */
public final class Addresses {

    private Addresses() {}

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
