package org.micabarrow.transport.callers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.micabarrow.Await;
import org.micabarrow.SocketText;
import org.micabarrow.memory.HeldBytes;
import org.micabarrow.standin.Ports;
import org.micabarrow.transport.HttpListener;
import org.micabarrow.transport.TestCertificates;
import org.micabarrow.transport.TestClient;
import org.micabarrow.transport.TestClient.Leaving;

/** Guards against callers whose leaving is noticed only when their answer is written. */
class CallerLeavesTest {

    private static final int CALLER_THREADS = 2;
    private static final long AHEAD_BYTES = 10 << 20;

    /** Less than the head of a request. */
    private static final int PART_BYTES = 20;

    @TempDir
    private static Path directory;

    private static TestCertificates certificates;

    private WaitingAgents agents = new WaitingAgents(new HeldBytes(AHEAD_BYTES));
    private CallerHandler handler;
    private HttpListener listener;
    private String address;

    @BeforeAll
    static void createCertificate() throws Exception {
        certificates = new TestCertificates(directory);
        certificates.create("entry");
    }

    private void serve(boolean tls) throws IOException {
        address = Ports.freeAddress();
        handler = agents.callerHandler();
        listener = HttpListener.start(
                address,
                HttpListener.Limits.defaults(),
                CALLER_THREADS,
                tls ? Optional.of(certificates.serverContext("entry")) : Optional.empty(),
                handler);
    }

    @AfterEach
    void stop() {
        listener.close();
        agents.close();
    }

    private TestClient connect(boolean tls) throws Exception {
        return new TestClient(address, tls ? Optional.of(certificates.pem("entry", "crt")) : Optional.empty());
    }

    private static String body(String name, int bytes) {
        return "{\"messages\":[{\"role\":\"user\",\"content\":\"" + "y".repeat(bytes)
                + "\"}],\"model\":\"assistant\",\"name\":\"" + name + "\"}";
    }

    private static byte[] request(String name, int bytes) {
        String body = body(name, bytes);
        return ("POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer riders-token\r\nContent-Length: "
                        + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.US_ASCII);
    }

    private void awaitNothingOpen() {
        Await.until("the cancellation", () -> agents.waiting() == 0);
        Await.until("the end of the request", () -> handler.openRequests() == 0);
        Await.until("the end of what was held", () -> agents.aheadBytes.bytes() == 0);
    }

    private void assertAnswered(boolean tls) throws Exception {
        agents.answering = true;
        try (TestClient other = connect(tls)) {
            other.out().write(request("other", 0));
            SocketText.readUntil(other.in(), body("other", 0));
        }
    }

    @ParameterizedTest
    @CsvSource({
        "false, 0,  0,      CLOSE",
        "false, 0,  0,      HALF_CLOSE",
        "false, 0,  0,      RESET",
        "false, 1,  0,      CLOSE",
        "false, 20, 1000,   CLOSE",
        "false, 20, 1000,   HALF_CLOSE",
        "false, 20, 1000,   RESET",
        "false, 1,  200000, CLOSE",
        "false, 1,  200000, RESET",
        "true,  0,  0,      CLOSE",
        "true,  0,  0,      HALF_CLOSE",
        "true,  0,  0,      CUT",
        "true,  0,  0,      RESET",
        "true,  1,  0,      CLOSE",
        "true,  20, 1000,   CLOSE",
        "true,  20, 1000,   HALF_CLOSE",
        "true,  20, 1000,   CUT",
        "true,  20, 1000,   RESET",
        "true,  1,  200000, CLOSE",
        "true,  1,  200000, HALF_CLOSE",
        "true,  1,  200000, CUT",
        "true,  1,  200000, RESET"
    })
    void shouldCancelWhenCallerLeaves(boolean tls, int ahead, int bodyBytes, Leaving leaving) throws Exception {
        serve(tls);
        agents.answering = false;
        try (TestClient caller = connect(tls)) {
            caller.out().write(request("first", 0));
            Await.until("the first request", () -> agents.waiting() == 1);
            for (int i = 0; i < ahead; i++) {
                caller.out().write(request("next-" + i, bodyBytes));
            }
            caller.leave(leaving);
            awaitNothingOpen();
        }
        assertAnswered(tls);
        assertEquals(2, agents.received.size(), "none of those sent ahead");
    }

    /** All come in one packet, so the second is there when the first is begun. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void shouldCancelWhenCallerLeavesThatSentRequestsTogether(boolean tls) throws Exception {
        serve(tls);
        agents.answering = false;
        try (TestClient caller = connect(tls)) {
            String both = new String(request("first", 0), StandardCharsets.US_ASCII)
                    + new String(request("second", 10), StandardCharsets.US_ASCII);
            caller.out().write(both.getBytes(StandardCharsets.US_ASCII));
            Await.until("the first request", () -> agents.waiting() == 1);
            caller.leave(Leaving.CLOSE);
            awaitNothingOpen();
        }
        assertAnswered(tls);
        assertEquals(2, agents.received.size(), "the second never");
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void shouldCancelWhenCallerLeavesAndNoMemoryIsLeft(boolean tls) throws Exception {
        agents.close();
        agents = new WaitingAgents(new HeldBytes(0));
        serve(tls);
        agents.answering = false;
        try (TestClient caller = connect(tls)) {
            caller.out().write(request("first", 0));
            Await.until("the first request", () -> agents.waiting() == 1);
            caller.leave(Leaving.CLOSE);
            awaitNothingOpen();
        }
    }

    /** The larger ones exceed what is read ahead. */
    @ParameterizedTest
    @CsvSource({
        "false, 1,   0",
        "false, 20,  1000",
        "false, 400, 1000",
        "false, 4,   300000",
        "true,  1,   0",
        "true,  20,  1000",
        "true,  400, 1000",
        "true,  4,   300000"
    })
    void shouldAnswerAllInOrderWhenCallerStays(boolean tls, int ahead, int bodyBytes) throws Exception {
        serve(tls);
        try (TestClient caller = connect(tls)) {
            Thread sender = Thread.ofPlatform().start(() -> {
                try {
                    for (int i = 0; i <= ahead; i++) {
                        caller.out().write(request("request-" + i, bodyBytes));
                    }
                } catch (IOException e) {
                    throw new AssertionError(e);
                }
            });
            String answers = readUntil(caller, "request-" + ahead + "\"");
            sender.join();
            int from = 0;
            for (int i = 0; i <= ahead; i++) {
                int at = answers.indexOf("\"request-" + i + "\"", from);
                assertTrue(at >= from, "request " + i + " in its place");
                from = at;
            }
        }
        assertEquals(ahead + 1, agents.received.size());
        for (int i = 0; i <= ahead; i++) {
            assertEquals(body("request-" + i, bodyBytes), agents.received.get(i));
        }
        awaitNothingOpen();
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void shouldAnswerRequestOfWhichPartCameBeforeAnswerToEarlierOne(boolean tls) throws Exception {
        serve(tls);
        agents.answering = false;
        byte[] second = request("second", 10);
        try (TestClient caller = connect(tls)) {
            caller.out().write(request("first", 0));
            Await.until("the first request", () -> agents.waiting() == 1);
            caller.out().write(second, 0, PART_BYTES);
            Await.until("the part", () -> agents.aheadBytes.bytes() == PART_BYTES);
            agents.answerWaiting();
            readUntil(caller, body("first", 0));
            caller.out().write(second, PART_BYTES, second.length - PART_BYTES);
            readUntil(caller, body("second", 10));
        }
    }

    private static String readUntil(TestClient caller, String end) throws IOException {
        StringBuilder text = new StringBuilder();
        byte[] buffer = new byte[16_384];
        int searched = 0;
        while (text.indexOf(end, searched) < 0) {
            searched = Math.max(0, text.length() - end.length());
            int count = caller.in().read(buffer);
            if (count < 0) {
                throw new IOException("the connection ended after " + text.length() + " bytes");
            }
            text.append(new String(buffer, 0, count, StandardCharsets.US_ASCII));
        }
        return text.toString();
    }
}
