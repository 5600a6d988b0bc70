package org.micabarrow.transport;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.undertow.util.Headers;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.micabarrow.Await;
import org.micabarrow.SocketText;
import org.micabarrow.memory.MessageMemory;
import org.micabarrow.standin.Ports;

/** Guards against listeners whose requests are not counted together with all other messages of the process. */
class CountedListenerTest {

    /** Fewer than the server takes in a head. */
    private static final int FIELDS = 150;

    /** What a field counts for at least, in bytes. */
    private static final int FIELD_BYTES = 256;

    /** How often the fields come in a trailer, unless it is refused before. */
    private static final int TRAILER_PARTS = 2_000;

    @TempDir
    private static Path directory;

    private static TestCertificates certificates;

    private HttpListener listener;
    private String address;

    @BeforeAll
    static void createCertificate() throws Exception {
        certificates = new TestCertificates(directory);
        certificates.create("entry");
    }

    private void serve(boolean tls) throws IOException {
        address = Ports.freeAddress();
        listener = HttpListener.start(
                address,
                HttpListener.Limits.defaults(),
                2,
                tls ? Optional.of(certificates.serverContext("entry")) : Optional.empty(),
                exchange -> exchange.getRequestReceiver().receiveFullBytes((same, body) -> {
                    same.getResponseHeaders().put(Headers.CONTENT_LENGTH, 0);
                    same.endExchange();
                }));
    }

    @AfterEach
    void stop() {
        listener.close();
    }

    private TestClient connect(boolean tls) throws Exception {
        return new TestClient(address, tls ? Optional.of(certificates.pem("entry", "crt")) : Optional.empty());
    }

    private static byte[] fields(int first) {
        StringBuilder text = new StringBuilder();
        IntStream.range(first, first + FIELDS)
                .forEach(number -> text.append(Integer.toHexString(number)).append(":\r\n"));
        return text.toString().getBytes(StandardCharsets.US_ASCII);
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void shouldCountHeadsUntilTheirExchangesEnd(boolean tls) throws Exception {
        serve(tls);
        long before = MessageMemory.ofProcess().bytes();
        try (TestClient first = connect(tls);
                TestClient second = connect(tls)) {
            for (TestClient client : new TestClient[] {first, second}) {
                client.out().write(bytes("GET / HTTP/1.1\r\nHost: h\r\n"));
                client.out().write(fields(0));
            }
            Await.until("both counts", () -> MessageMemory.ofProcess().bytes() - before >= 2 * FIELDS * FIELD_BYTES);
            first.out().write(bytes("\r\n"));
            SocketText.readUntil(first.in(), "\r\n\r\n");
            Await.until("one count", () -> MessageMemory.ofProcess().bytes() - before < 2 * FIELDS * FIELD_BYTES);
        }
        Await.until("the end of the counts", () -> MessageMemory.ofProcess().bytes() <= before);
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void shouldCloseConnectionWhenTrailerHasNoEnd(boolean tls) throws Exception {
        serve(tls);
        try (TestClient client = connect(tls)) {
            client.out()
                    .write(bytes("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\ny\r\n0\r\n"));
            assertTrue(isClosedWithin(client), "it takes all of them");
        }
    }

    private static boolean isClosedWithin(TestClient client) {
        try {
            for (int i = 0; i < TRAILER_PARTS; i++) {
                client.out().write(fields(i * FIELDS));
            }
            return false;
        } catch (IOException e) {
            return true;
        }
    }
}
