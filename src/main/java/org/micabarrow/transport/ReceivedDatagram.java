package org.micabarrow.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.util.Objects;

/**
 * A datagram that another process sent.
 *
 * @param from the sender's address
 * @param bytes its content
 */
record ReceivedDatagram(InetSocketAddress from, byte[] bytes) {

    /** The maximum size of a datagram, in bytes; actual ones are well under a hundred. */
    static final int MAX_BYTES = 512;

    /** Checks that no component is null. */
    ReceivedDatagram {
        Objects.requireNonNull(from, "from is null");
        Objects.requireNonNull(bytes, "bytes is null");
    }

    /**
     * Waits for the next datagram.
     *
     * @param channel a channel in blocking mode
     * @return the datagram
     * @throws IOException if the channel is closed or cannot be read
     */
    static ReceivedDatagram receive(DatagramChannel channel) throws IOException {
        ByteBuffer buffer = ByteBuffer.allocate(MAX_BYTES);
        InetSocketAddress from = (InetSocketAddress) channel.receive(buffer);
        buffer.flip();
        byte[] bytes = new byte[buffer.remaining()];
        buffer.get(bytes);
        return new ReceivedDatagram(from, bytes);
    }
}
