package org.micabarrow.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.micabarrow.AnswerReader;
import org.micabarrow.Await;
import org.micabarrow.platform.standin.HostedSystem;
import org.micabarrow.settings.HostedSettings;
import org.micabarrow.transport.Addresses;

/** What an entry answers by itself states its length, however it is asked: nothing that breaks off looks complete. */
class OwnAnswersTest {

    private static final int HANG_MILLIS = 20_000;
    private static final List<String> VERSIONS = List.of(
            "HTTP/1.1\r\nHost: h",
            "HTTP/1.1\r\nHost: h\r\nConnection: close",
            "HTTP/1.0",
            "HTTP/1.0\r\nConnection: keep-alive",
            "HTTP/0.9");

    private HostedSystem platform;
    private HostedSettings settings;

    @BeforeEach
    void start() throws Exception {
        platform = HostedSystem.start();
        platform.addEndpoint("plain-1", "plain", 0);
        settings = platform.entrySettings();
        HostedEntryProcess entry = HostedEntryProcess.start(settings);
        Await.until("a manifest and the endpoint", () -> entry.takesRequests() && entry.endpoints() == 1);
    }

    @AfterEach
    void stop() throws Exception {
        platform.close();
    }

    private static String ask(String address, String request) throws IOException {
        try (Socket socket = new Socket()) {
            socket.setSoTimeout(HANG_MILLIS);
            socket.connect(Addresses.parse(address));
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            AnswerReader answer = new AnswerReader(socket.getInputStream());
            assertTrue(answer.readsComplete(), () -> request + answer.text());
            return answer.text();
        }
    }

    private static void assertLength(String address, String request) throws IOException {
        String answer = ask(address, request);
        String head = answer.substring(0, answer.indexOf("\r\n\r\n") + 2).toLowerCase(Locale.ROOT);
        assertEquals(
                1,
                Arrays.stream(head.split("\r\n"))
                        .filter(line -> line.startsWith("content-length: ") || line.startsWith("transfer-encoding: "))
                        .count(),
                () -> request + answer);
        assertTrue(head.contains("\r\ncontent-length: "), () -> request + answer);
    }

    @Test
    void shouldStateLengthOfPeersMetricsAndReadiness() throws Exception {
        for (String version : VERSIONS) {
            assertLength(settings.listen().metrics(), "GET /metrics " + version + "\r\n\r\n");
            assertLength(settings.listen().metrics(), "GET /nothing " + version + "\r\n\r\n");
            assertLength(settings.listen().ready().orElseThrow(), "GET /api/ready " + version + "\r\n\r\n");
            for (String path : List.of("/metrics", "/digests/a/1", "/chunks/a/1/0", "/chunks/x", "/records")) {
                assertLength(settings.listen().peers(), "GET " + path + " " + version + "\r\n\r\n");
            }
        }
    }

    @Test
    void shouldStateLengthOfRefusals() throws Exception {
        String clients = settings.listen().clients().orElseThrow();
        for (String version : VERSIONS) {
            String head = "POST /once/x " + version + "\r\nAttempt-Id: a\r\n";
            assertLength(clients, "GET /nothing " + version + "\r\n\r\n");
            assertLength(clients, "POST /nothing " + version + "\r\nContent-Length: 3\r\n\r\nabc");
            assertLength(clients, head + "Content-Length: 99999999999\r\n\r\nabc");
            assertLength(clients, head + "Content-Length: -1\r\n\r\n");
            assertLength(clients, head + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab");
            assertLength(clients, head + "Expect: 100-continue\r\nContent-Length: 99999999999\r\n\r\n");
            assertLength(clients, head + "Expect: other\r\nContent-Length: 0\r\n\r\n");
            assertLength(clients, head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n\r\n");
            assertLength(clients, head + "Connection: Upgrade\r\nUpgrade: websocket\r\nContent-Length: 0\r\n\r\n");
            assertLength(clients, head + "X: " + "x".repeat(40_000) + "\r\n\r\n");
            assertLength(clients, "CONNECT h.example:80 " + version + "\r\n\r\n");
            assertLength(clients, "OPTIONS * " + version + "\r\n\r\n");
        }
        assertLength(clients, "GET / HTTP/3.7\r\n\r\n");
        assertLength(clients, "GET / XTTP/1.1\r\n\r\n");
    }
}
