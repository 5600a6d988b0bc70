package org.micabarrow.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.micabarrow.Await;
import org.micabarrow.EndlessEndpoint;
import org.micabarrow.memory.HeldBytes;
import org.micabarrow.transport.Addresses;

/** Guards against endpoints whose answers have no end and fill an entry's memory or keep it from all other requests. */
class EndlessAnswersRequestTest extends ServingFixture {

    private static final long TIMEOUT_MILLIS = 1_500;
    private static final int HANG_MILLIS = 20_000;
    private static final int OK = 200;
    private static final long HELD_LIMIT_BYTES = 32 << 20;

    private static final String HEAD = "HTTP/1.1 200 OK\r\nAttempt-Id: attempt-1\r\nServer-Seal: s\r\n";
    private static final String STREAM = HEAD + "Content-Type: text/event-stream\r\nWeight-Versions: 1\r\n\r\n";

    private static String first(String form) {
        return switch (form) {
            case "head" -> HEAD + "X-Other: ";
            case "body" -> HEAD + "\r\n";
            case "chunk header" -> HEAD + "Transfer-Encoding: chunked\r\n\r\n5;";
            case "event", "events" -> STREAM;
            default -> throw new IllegalArgumentException(form);
        };
    }

    @ParameterizedTest
    @CsvSource({
        "head,         /once/x",
        "head,         /again/x",
        "head,         /stream/x",
        "body,         /once/x",
        "chunk header, /again/x",
        "event,        /stream/x",
        "events,       /stream/x"
    })
    void shouldEndAnswerWithoutEndAndServeNextRequest(String form, String path) throws Exception {
        held = new HeldBytes(HELD_LIMIT_BYTES);
        platform.publishManifest(2, "key-a", TIMEOUT_MILLIS);
        boolean stream = path.startsWith("/stream");
        String service = stream ? "models" : "plain";
        try (EndlessEndpoint endless = new EndlessEndpoint(first(form), form.equals("events") ? "data: y\n\n" : "y")) {
            platform.setAddress("endless", endless.address());
            platform.register("endless", service, stream ? 1 : 0, "ready");
            serveWithoutVersions();
            assertFalse(looksComplete(path), "it looks whole");
            Await.until("the end of the connection", endless::isClosedByPeer);
            assertTrue(held.bytes() <= HELD_LIMIT_BYTES, "held " + held.bytes());
        }
        platform.addEndpoint("sound", service, stream ? 1 : 0);
        Await.until("the sound endpoint", () -> views.view().endpoints().containsKey("sound"));
        assertEquals(OK, sendRequest(path).status());
    }

    /** Reads an answer to its end, keeping nothing; whether it is a success that ends as its head says. */
    private boolean looksComplete(String path) throws IOException {
        try (Socket socket = new Socket()) {
            socket.setSoTimeout(HANG_MILLIS);
            socket.connect(Addresses.parse(clientAddress()));
            socket.getOutputStream()
                    .write(("POST " + path + " HTTP/1.1\r\nHost: h.example\r\nKey: key-a\r\nAttempt-Id: attempt-1\r\n"
                                    + "Model: model-a\r\nToken-Count: 100,20\r\nDeadline-Ms: 60000\r\n"
                                    + "Content-Length: 0\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
            String status = new String(socket.getInputStream().readNBytes(12), StandardCharsets.US_ASCII);
            return status.endsWith("200") && endsWithLastChunk(socket.getInputStream());
        }
    }

    private static boolean endsWithLastChunk(InputStream input) throws IOException {
        byte[] data = new byte[64 * 1024];
        String end = "";
        try {
            for (int count = input.read(data); count >= 0; count = input.read(data)) {
                String read = end + new String(data, 0, count, StandardCharsets.ISO_8859_1);
                end = read.substring(Math.max(0, read.length() - 7));
                if (end.equals("\r\n0\r\n\r\n")) {
                    return true;
                }
            }
            return false;
        } catch (SocketException e) {
            // A reset tells the client that the answer is not whole.
            return false;
        }
    }
}
