package org.micabarrow.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.undertow.util.Headers;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.micabarrow.Await;
import org.micabarrow.SocketText;
import org.micabarrow.memory.HeldBytes;
import org.micabarrow.standin.Ports;

/** What is left of the requests that a connection has served. */
class DisconnectDetectorTest {

    private static final int REQUESTS = 10;

    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger disconnects = new AtomicInteger();
    private final AtomicInteger closes = new AtomicInteger();

    /** Whatever is told of the close is held until then, with all that its request has brought. */
    @Test
    void shouldHoldOnlyLastRequestOfConnection() throws Exception {
        String address = Ports.freeAddress();
        HeldBytes held = new HeldBytes(1 << 20);
        try (HttpListener listener =
                HttpListener.start(address, HttpListener.Limits.defaults(), 1, Optional.empty(), exchange -> {
                    DisconnectDetector.start(exchange, held, disconnects::incrementAndGet);
                    if (served.incrementAndGet() == REQUESTS) {
                        exchange.getConnection().addCloseListener(closed -> closes.incrementAndGet());
                    }
                    exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, 0);
                })) {
            try (TestClient client = new TestClient(address, Optional.empty())) {
                for (int i = 0; i < REQUESTS; i++) {
                    client.out().write("GET / HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                    SocketText.readUntil(client.in(), "\r\n\r\n");
                }
            }
            Await.until("the close", () -> closes.get() == 1);
        }
        assertEquals(1, disconnects.get());
    }
}
