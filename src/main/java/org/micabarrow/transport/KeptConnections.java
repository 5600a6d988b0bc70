package org.micabarrow.transport;

import io.undertow.client.ClientConnection;
import java.util.Deque;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.function.LongSupplier;
import org.xnio.IoUtils;

/**
 * Connections that wait for their next request, by the host and port at their other end. An open connection may fall
 * silent for good without any sign, so one that waited long is not used again, and none is to a place where one was silent.
 */
final class KeptConnections implements AutoCloseable {

    /**
     * How long a connection may wait and still be used, in milliseconds. A silent one costs the next request its whole time
     * limit, a new one a round trip; the longest usual pause between two requests to one place is the 3 s between an
     * agent's reads of endpoints' entries.
     */
    private static final long WAITING_MILLIS = 4_000;

    private final Map<String, Deque<Waiting>> waiting = new ConcurrentHashMap<>();
    private final int most;
    private final LongSupplier steadyMillis;

    /** A connection, and since when it waits on the steady clock. */
    private record Waiting(ClientConnection connection, long sinceMillis) {

        private void close() {
            IoUtils.safeClose(connection);
        }
    }

    /**
     * Begins with no connection.
     *
     * @param most how many to one place may wait
     * @param steadyMillis a clock that never steps, in milliseconds
     */
    KeptConnections(int most, LongSupplier steadyMillis) {
        this.most = most;
        this.steadyMillis = steadyMillis;
    }

    /** A connection that is still open and has not waited long, the one used last first. */
    Optional<ClientConnection> take(String authority) {
        Deque<Waiting> kept = waiting.get(authority);
        if (kept == null) {
            return Optional.empty();
        }
        long oldest = steadyMillis.getAsLong() - WAITING_MILLIS;
        for (Waiting one = kept.pollFirst(); one != null; one = kept.pollFirst()) {
            if (one.sinceMillis() < oldest) {
                one.close();
            } else if (one.connection().isOpen()) {
                return Optional.of(one.connection());
            }
        }
        return Optional.empty();
    }

    /** Keeps a connection whose answer was read whole, or closes it if enough are kept. */
    void give(String authority, ClientConnection connection) {
        Deque<Waiting> kept = waiting.computeIfAbsent(authority, key -> new ConcurrentLinkedDeque<>());
        if (connection.isOpen() && !connection.isUpgraded() && kept.size() < most) {
            kept.addFirst(new Waiting(connection, steadyMillis.getAsLong()));
        } else {
            IoUtils.safeClose(connection);
        }
    }

    /** Closes all connections to a place that wait, since one to it was silent and they may be so too. */
    void drop(String authority) {
        Deque<Waiting> kept = waiting.get(authority);
        if (kept == null) {
            return;
        }
        for (Waiting one = kept.pollFirst(); one != null; one = kept.pollFirst()) {
            one.close();
        }
    }

    @Override
    public void close() {
        waiting.values().forEach(kept -> kept.forEach(Waiting::close));
    }
}
