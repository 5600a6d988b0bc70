package org.micabarrow.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.micabarrow.Await;
import org.micabarrow.SocketText;
import org.micabarrow.memory.HeldBytes;
import org.micabarrow.platform.standin.HostedEndpointStandin.Behaviour;
import org.micabarrow.transport.Addresses;

/** Requests that a client sends on its connection before the answer to an earlier one. */
class RequestsSentAheadTest extends ServingFixture {

    private static final int HANG_MILLIS = 20_000;

    /** Longer than a test waits, so that no timeout ends a request before. */
    private static final long ROUTE_MILLIS = 60_000;

    /** Less than the head of a request. */
    private static final int PART_BYTES = 20;

    /** How a client disconnects. */
    private enum Disconnect {
        CLOSE,
        HALF_CLOSE,
        RESET;

        private void apply(Socket client) throws IOException {
            switch (this) {
                case CLOSE -> client.close();
                case HALF_CLOSE -> client.shutdownOutput();
                case RESET -> {
                    client.setSoLinger(true, 0);
                    client.close();
                }
            }
        }
    }

    private void addEndpoint() {
        platform.publishManifest(2, "key-a", ROUTE_MILLIS);
        platform.addEndpoint("plain-1", "plain", 0);
    }

    private static byte[] request(String attempt, int bodyBytes) {
        return ("POST /again/x HTTP/1.1\r\nHost: h.example\r\nKey: key-a\r\nAttempt-Id: " + attempt
                        + "\r\nDeadline-Ms: 60000\r\nContent-Length: " + bodyBytes + "\r\n\r\n" + "y".repeat(bodyBytes))
                .getBytes(StandardCharsets.US_ASCII);
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket();
        socket.setSoTimeout(HANG_MILLIS);
        socket.connect(Addresses.parse(clientAddress()));
        return socket;
    }

    @ParameterizedTest
    @CsvSource({
        "1,  0,      CLOSE",
        "1,  0,      HALF_CLOSE",
        "1,  0,      RESET",
        "20, 0,      CLOSE",
        "20, 1000,   CLOSE",
        "20, 1000,   HALF_CLOSE",
        "1,  200000, CLOSE",
        "1,  200000, RESET"
    })
    void shouldCancelWhenClientLeavesThatSentFurtherRequests(int ahead, int bodyBytes, Disconnect disconnect)
            throws Exception {
        addEndpoint();
        serveWithoutVersions();
        platform.enqueueBehaviour(Behaviour.NEVER_ANSWER);
        try (Socket leaving = connect()) {
            leaving.getOutputStream().write(request("first", 0));
            Await.until("the first request", () -> received("plain-1") == 1);
            for (int i = 0; i < ahead; i++) {
                leaving.getOutputStream().write(request("next-" + i, bodyBytes));
            }
            disconnect.apply(leaving);
            Await.until("the end of the request", () -> handler.connections().inFlightCount() == 0);
            Await.until(
                    "its end at the endpoint",
                    () -> platform.endpoint("plain-1").unansweredCount() == 0);
        }
        assertEquals(200, sendRequest("/again/x").status());
        assertEquals(2, received("plain-1"), "none of those sent ahead");
    }

    @Test
    void shouldCancelWhenClientLeavesAndNoMemoryIsLeft() throws Exception {
        held = new HeldBytes(0);
        addEndpoint();
        serveWithoutVersions();
        platform.enqueueBehaviour(Behaviour.NEVER_ANSWER);
        try (Socket leaving = connect()) {
            leaving.getOutputStream().write(request("first", 0));
            Await.until("the first request", () -> received("plain-1") == 1);
        }
        Await.until(
                "its end at the endpoint", () -> platform.endpoint("plain-1").unansweredCount() == 0);
    }

    /** All come in one packet, so the second is there when the first is begun. */
    @Test
    void shouldCancelWhenClientLeavesThatSentRequestsTogether() throws Exception {
        addEndpoint();
        serveWithoutVersions();
        platform.enqueueBehaviour(Behaviour.NEVER_ANSWER);
        try (Socket leaving = connect()) {
            String both = new String(request("first", 0), StandardCharsets.US_ASCII)
                    + new String(request("second", 10), StandardCharsets.US_ASCII);
            leaving.getOutputStream().write(both.getBytes(StandardCharsets.US_ASCII));
            Await.until("the first request", () -> received("plain-1") == 1);
        }
        Await.until(
                "its end at the endpoint", () -> platform.endpoint("plain-1").unansweredCount() == 0);
        assertEquals(200, sendRequest("/again/x").status());
        assertEquals(2, received("plain-1"), "the second never");
    }

    /** The rest comes when the server waits for it. */
    @Test
    void shouldAnswerRequestOfWhichPartCameBeforeAnswerToEarlierOne() throws Exception {
        addEndpoint();
        serveWithoutVersions();
        byte[] second = request("second", 10);
        try (Socket client = connect()) {
            ByteArrayOutputStream together = new ByteArrayOutputStream();
            together.write(request("first", 0));
            together.write(second, 0, PART_BYTES);
            client.getOutputStream().write(together.toByteArray());
            SocketText.readUntil(client.getInputStream(), "first\r\n");
            client.getOutputStream().write(second, PART_BYTES, second.length - PART_BYTES);
            SocketText.readUntil(client.getInputStream(), "second\r\n");
        }
    }

    @ParameterizedTest
    @CsvSource({"1, 0", "20, 0", "20, 1000", "400, 1000"})
    void shouldAnswerAllInOrderWhenClientStays(int ahead, int bodyBytes) throws Exception {
        addEndpoint();
        serveWithoutVersions();
        try (Socket client = connect()) {
            Thread sender = Thread.ofPlatform().start(() -> {
                try {
                    for (int i = 0; i <= ahead; i++) {
                        client.getOutputStream().write(request("request-" + i, bodyBytes));
                    }
                } catch (IOException e) {
                    throw new AssertionError(e);
                }
            });
            for (int i = 0; i <= ahead; i++) {
                SocketText.readUntil(client.getInputStream(), "request-" + i + "\r\n");
            }
            sender.join();
        }
        assertEquals(ahead + 1, received("plain-1"));
        for (int i = 0; i <= ahead; i++) {
            assertEquals(
                    bodyBytes,
                    platform.endpoint("plain-1").received().get(i).body().length());
        }
        Await.until("the end of what was held", () -> held.bytes() == 0);
    }
}
