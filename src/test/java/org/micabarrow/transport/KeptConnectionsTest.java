package org.micabarrow.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.undertow.client.ClientConnection;
import java.lang.reflect.Proxy;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

/** Which connections wait for their next request. */
class KeptConnectionsTest {

    private static final String PLACE = "10.0.0.1:80";

    private final AtomicLong now = new AtomicLong(100_000);
    private final KeptConnections kept = new KeptConnections(4, now::get);

    /** A connection that is open until it is closed, and does nothing. */
    private static ClientConnection connection() {
        AtomicBoolean open = new AtomicBoolean(true);
        return (ClientConnection) Proxy.newProxyInstance(
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
    }

    @Test
    void shouldGiveConnectionUsedLastFirst() {
        ClientConnection first = connection();
        ClientConnection last = connection();
        kept.give(PLACE, first);
        kept.give(PLACE, last);
        assertEquals(Optional.of(last), kept.take(PLACE));
        assertEquals(Optional.of(first), kept.take(PLACE));
        assertEquals(Optional.empty(), kept.take(PLACE));
    }

    @Test
    void shouldCloseConnectionThatWaitedLong() {
        ClientConnection rested = connection();
        kept.give(PLACE, rested);
        now.addAndGet(4_000);
        ClientConnection fresh = connection();
        kept.give(PLACE, fresh);
        now.addAndGet(1);
        assertEquals(Optional.of(fresh), kept.take(PLACE));
        assertEquals(Optional.empty(), kept.take(PLACE), "it may have fallen silent meanwhile");
        assertFalse(rested.isOpen());
    }

    @Test
    void shouldCloseAllToAPlaceWhenOneFellSilent() {
        ClientConnection suspect = connection();
        ClientConnection elsewhere = connection();
        kept.give(PLACE, suspect);
        kept.give("10.0.0.2:80", elsewhere);
        kept.drop(PLACE);
        assertFalse(suspect.isOpen());
        assertEquals(Optional.empty(), kept.take(PLACE));
        assertEquals(Optional.of(elsewhere), kept.take("10.0.0.2:80"));
    }
}
