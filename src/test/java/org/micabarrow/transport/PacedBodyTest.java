package org.micabarrow.transport;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.undertow.Undertow;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Random;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.micabarrow.standin.Ports;
import org.micabarrow.state.Fault.Step;
import org.micabarrow.transport.HttpClient.HttpResponse;

/** Tests the transmission of a chunk over a shared link. */
@Timeout(30)
class PacedBodyTest {

    private static final int CHUNK_BYTES = 32 * 1024;

    private final byte[] chunk = new byte[CHUNK_BYTES];
    private volatile LinkPacer pacer = new LinkPacer(1e9, () -> 1);
    private Undertow server;
    private InetSocketAddress address;

    @BeforeEach
    void start() {
        new Random(1).nextBytes(chunk);
        address = Addresses.parse(Ports.freeAddress());
        server = Undertow.builder()
                .addHttpListener(address.getPort(), address.getHostString())
                .setHandler(exchange -> exchange.dispatch(
                        SameThreadExecutor.INSTANCE,
                        () -> PacedBody.send(exchange, chunk, pacer.reserve(chunk.length))))
                .build();
        server.start();
    }

    @AfterEach
    void stop() {
        server.stop();
    }

    @Test
    void shouldArriveCompletelyWhenSentInPieces() throws Exception {
        try (HttpClient client = HttpClient.start("test", 1)) {
            URI uri = URI.create("http://" + address.getHostString() + ":" + address.getPort() + "/");
            HttpResponse response = client.call(HttpCall.get(Step.FETCH, uri), Duration.ofSeconds(10))
                    .toOptional()
                    .orElseThrow();
            assertArrayEquals(chunk, response.body());
        }
    }

    /** The link is reserved for ten seconds, and the client reads only until the first bytes have arrived. */
    @Test
    void shouldNotFillLinkAtOnceWhenReservedForLong() throws IOException {
        pacer = new LinkPacer(CHUNK_BYTES / 10.0, () -> 1);
        try (Socket client = new Socket(address.getHostString(), address.getPort())) {
            client.getOutputStream().write("GET / HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            InputStream input = client.getInputStream();
            int first = input.read(new byte[2 * CHUNK_BYTES]);
            assertTrue(first > 0 && first < CHUNK_BYTES / 2, "bytes in the first read: " + first);
        }
    }

    @Test
    void shouldReserveLinkForOneChunkAfterTheOther() {
        LinkPacer slow = new LinkPacer(CHUNK_BYTES / 10.0, () -> 1);
        LinkPacer.Reservation first = slow.reserve(CHUNK_BYTES);
        LinkPacer.Reservation second = slow.reserve(CHUNK_BYTES);
        assertEquals(first.untilNanos(), second.fromNanos());
        assertEquals(first.nanos(), second.nanos());
    }
}
