package org.micabarrow.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.codahale.metrics.MetricRegistry;
import io.undertow.util.Headers;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.micabarrow.Await;
import org.micabarrow.SocketText;
import org.micabarrow.memory.HeldBytes;
import org.micabarrow.standin.Ports;
import org.micabarrow.transport.Addresses;
import org.micabarrow.transport.HttpListener;

/** Guards against connections that hold all requests that they have served. */
class ClientDisconnectDetectorTest {

    private static final int REQUESTS = 10;
    private static final int HANG_MILLIS = 20_000;

    private final ClientMemory memory = new ClientMemory(new HeldBytes(1 << 20), new MetricRegistry());
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger disconnects = new AtomicInteger();
    private final AtomicInteger closes = new AtomicInteger();

    /** What is told of the close is held until then, with all that its request has brought. */
    @Test
    void shouldHoldOnlyLastRequestOfConnection() throws Exception {
        String address = Ports.freeAddress();
        try (HttpListener listener =
                HttpListener.start(address, HttpListener.Limits.defaults(), 1, Optional.empty(), exchange -> {
                    ClientDisconnectDetector.start(exchange, memory, disconnects::incrementAndGet);
                    if (served.incrementAndGet() == REQUESTS) {
                        exchange.getConnection().addCloseListener(closed -> closes.incrementAndGet());
                    }
                    exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, 0);
                })) {
            try (Socket client = new Socket()) {
                client.setSoTimeout(HANG_MILLIS);
                client.connect(Addresses.parse(address));
                for (int i = 0; i < REQUESTS; i++) {
                    client.getOutputStream()
                            .write("GET / HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                    SocketText.readUntil(client.getInputStream(), "\r\n\r\n");
                }
            }
            Await.until("the close", () -> closes.get() == 1);
        }
        assertEquals(1, disconnects.get());
    }
}
