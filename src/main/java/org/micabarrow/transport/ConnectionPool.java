package org.micabarrow.transport;

import java.util.Deque;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.function.LongSupplier;
import org.xnio.IoUtils;

/**
 * Idle connections that are kept for reuse, by the host and port of the remote end. An open connection may become
 * permanently unresponsive without any sign, so a connection that was idle for long is not reused, and neither is any
 * connection to an address where one was unresponsive.
 */
final class ConnectionPool implements AutoCloseable {

    /**
     * How long a connection may be idle and still be reused, in milliseconds. An unresponsive connection costs the next
     * request its full timeout, a new one a round trip. The longest usual interval between two requests to one address
     * is the 3 s between an agent's reads of endpoints' entries.
     */
    private static final long MAX_IDLE_MILLIS = 4_000;

    private final Map<String, Deque<IdleConnection>> idle = new ConcurrentHashMap<>();
    private final int maxIdle;
    private final LongSupplier monotonicMillis;

    /** A connection, and when it became idle on the monotonic clock. */
    private record IdleConnection(HttpConnection connection, long idleSinceMillis) {

        private void close() {
            IoUtils.safeClose(connection.client());
        }
    }

    /**
     * Creates an empty pool.
     *
     * @param maxIdle how many idle connections per address are kept
     * @param monotonicMillis a monotonic clock, in milliseconds
     */
    ConnectionPool(int maxIdle, LongSupplier monotonicMillis) {
        this.maxIdle = maxIdle;
        this.monotonicMillis = monotonicMillis;
    }

    /**
     * Removes and returns a connection that is still open and was not idle for long, the most recently used one first.
     */
    Optional<HttpConnection> acquire(String authority) {
        Deque<IdleConnection> connections = idle.get(authority);
        if (connections == null) {
            return Optional.empty();
        }
        long earliestIdleSince = monotonicMillis.getAsLong() - MAX_IDLE_MILLIS;
        for (IdleConnection candidate = connections.pollFirst();
                candidate != null;
                candidate = connections.pollFirst()) {
            if (candidate.idleSinceMillis() < earliestIdleSince) {
                candidate.close();
            } else if (candidate.connection().isOpen()) {
                return Optional.of(candidate.connection());
            }
        }
        return Optional.empty();
    }

    /** Keeps a connection whose response was read completely, or closes it if enough are kept. */
    void release(String authority, HttpConnection connection) {
        Deque<IdleConnection> connections = idle.computeIfAbsent(authority, key -> new ConcurrentLinkedDeque<>());
        if (connection.isOpen() && !connection.client().isUpgraded() && connections.size() < maxIdle) {
            connections.addFirst(new IdleConnection(connection, monotonicMillis.getAsLong()));
        } else {
            IoUtils.safeClose(connection.client());
        }
    }

    /** Closes all idle connections to an address, since one to it was unresponsive and the others may be too. */
    void closeIdle(String authority) {
        Deque<IdleConnection> connections = idle.get(authority);
        if (connections == null) {
            return;
        }
        for (IdleConnection candidate = connections.pollFirst();
                candidate != null;
                candidate = connections.pollFirst()) {
            candidate.close();
        }
    }

    @Override
    public void close() {
        idle.values().forEach(connections -> connections.forEach(IdleConnection::close));
    }
}
