package org.micabarrow.transport;

import io.undertow.client.ClientConnection;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import org.xnio.IoUtils;

/** Connections that wait for their next request, by the host and port at their other end. */
final class KeptConnections implements AutoCloseable {

    private final Map<String, ConcurrentLinkedDeque<ClientConnection>> idle = new ConcurrentHashMap<>();
    private final int most;

    KeptConnections(int most) {
        this.most = most;
    }

    /** A connection that is still open, the one used last first. */
    Optional<ClientConnection> take(String authority) {
        ConcurrentLinkedDeque<ClientConnection> kept = idle.get(authority);
        if (kept == null) {
            return Optional.empty();
        }
        for (ClientConnection one = kept.pollFirst(); one != null; one = kept.pollFirst()) {
            if (one.isOpen()) {
                return Optional.of(one);
            }
        }
        return Optional.empty();
    }

    /** Keeps a connection whose answer was read whole, or closes it if enough are kept. */
    void give(String authority, ClientConnection connection) {
        ConcurrentLinkedDeque<ClientConnection> kept =
                idle.computeIfAbsent(authority, key -> new ConcurrentLinkedDeque<>());
        if (connection.isOpen() && !connection.isUpgraded() && kept.size() < most) {
            kept.addFirst(connection);
        } else {
            IoUtils.safeClose(connection);
        }
    }

    @Override
    public void close() {
        idle.values().forEach(kept -> kept.forEach(IoUtils::safeClose));
    }
}
