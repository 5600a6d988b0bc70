package org.micabarrow.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.undertow.client.ClientConnection;
import java.lang.reflect.Proxy;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.micabarrow.memory.MessageMemory;

/** Which idle connections are reused. */
class ConnectionPoolTest {

    private static final String ADDRESS = "10.0.0.1:80";

    private final AtomicLong now = new AtomicLong(100_000);
    private final ConnectionPool pool = new ConnectionPool(4, now::get);

    /** A connection that is open until it is closed, and does nothing. */
    private static HttpConnection connection() {
        AtomicBoolean open = new AtomicBoolean(true);
        ClientConnection client = (ClientConnection) Proxy.newProxyInstance(
                ClientConnection.class.getClassLoader(),
                new Class<?>[] {ClientConnection.class},
                (self, method, arguments) -> switch (method.getName()) {
                    case "isOpen" -> open.get();
                    case "isUpgraded" -> false;
                    case "close" -> {
                        open.set(false);
                        yield null;
                    }
                    case "equals" -> self == arguments[0];
                    case "hashCode" -> System.identityHashCode(self);
                    default -> throw new UnsupportedOperationException(method.getName());
                });
        MessageBytes bytes =
                new MessageBytes(HeadLines.Kind.RESPONSE, MessageMemory.ofProcess(), Runnable::run, () -> ADDRESS);
        return new HttpConnection(client, bytes);
    }

    @Test
    void shouldReuseMostRecentlyUsedConnectionFirst() {
        HttpConnection first = connection();
        HttpConnection last = connection();
        pool.release(ADDRESS, first);
        pool.release(ADDRESS, last);
        assertEquals(Optional.of(last), pool.acquire(ADDRESS));
        assertEquals(Optional.of(first), pool.acquire(ADDRESS));
        assertEquals(Optional.empty(), pool.acquire(ADDRESS));
    }

    @Test
    void shouldCloseConnectionWhenIdleForTooLong() {
        HttpConnection stale = connection();
        pool.release(ADDRESS, stale);
        now.addAndGet(4_000);
        HttpConnection fresh = connection();
        pool.release(ADDRESS, fresh);
        now.addAndGet(1);
        assertEquals(Optional.of(fresh), pool.acquire(ADDRESS));
        assertEquals(Optional.empty(), pool.acquire(ADDRESS), "it may have become unresponsive");
        assertFalse(stale.isOpen());
    }

    @Test
    void shouldCloseAllConnectionsToAddressWhenOneWasUnresponsive() {
        HttpConnection idle = connection();
        HttpConnection otherAddress = connection();
        pool.release(ADDRESS, idle);
        pool.release("10.0.0.2:80", otherAddress);
        pool.closeIdle(ADDRESS);
        assertFalse(idle.isOpen());
        assertEquals(Optional.empty(), pool.acquire(ADDRESS));
        assertEquals(Optional.of(otherAddress), pool.acquire("10.0.0.2:80"));
    }
}
