package org.micabarrow.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.micabarrow.SocketText;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Result;
import org.micabarrow.transport.HttpClient.HttpResponse;

/** Which responses are taken for the answer to their request, by their heads. */
class ResponseHeadsTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    private ServerSocket server;
    private HttpClient client;
    private HttpCall call;

    @BeforeEach
    void start() throws IOException {
        server = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
        client = HttpClient.start("test", 1);
        call = HttpCall.get(Fault.Step.INSTANCES, URI.create("http://127.0.0.1:" + server.getLocalPort()));
    }

    @AfterEach
    void stop() throws IOException {
        client.close();
        server.close();
    }

    private static void answer(Socket socket, String response) throws IOException {
        SocketText.readUntil(socket.getInputStream(), "\r\n\r\n");
        socket.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
    }

    private static Optional<String> body(Result<HttpResponse> result) {
        return result.toOptional().map(response -> new String(response.body(), StandardCharsets.US_ASCII));
    }

    private static String whole(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    @ParameterizedTest
    @ValueSource(ints = {101, 102, 103, 199})
    void shouldNotTakeInterimResponseForAnswer(int status) throws Exception {
        HttpClient.PendingCall first = client.callAsync(call);
        try (Socket socket = server.accept()) {
            answer(socket, "HTTP/1.1 " + status + " X\r\nLink: x\r\n\r\n" + whole("first"));
            assertEquals(Optional.empty(), body(first.await(TIMEOUT)));
            HttpClient.PendingCall second = client.callAsync(call);
            try (Socket next = server.accept()) {
                answer(next, whole("second"));
                assertEquals(Optional.of("second"), body(second.await(TIMEOUT)));
            }
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 100 Continue\r\nA: b\r\n\r\n"})
    void shouldTakeAnswerAfterContinue(String interim) throws Exception {
        HttpClient.PendingCall pending = client.callAsync(call);
        try (Socket socket = server.accept()) {
            answer(socket, interim + whole("first"));
            assertEquals(Optional.of("first"), body(pending.await(TIMEOUT)));
        }
    }

    /** The body is one chunk and no last one, and the connection ends. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "Transfer-Encoding: gzip, chunked",
                "Transfer-Encoding: chunked, chunked",
                "Transfer-Encoding: chunked;q=1",
                "Transfer-Encoding: gzip",
                "Transfer-Encoding: gzip|Transfer-Encoding: chunked",
                "Transfer-Encoding: chunked|Transfer-Encoding: identity",
                "Content-Length: 10|Content-Length: 100"
            })
    void shouldNotTakeAnswerWhoseEndIsNotKnown(String fields) throws Exception {
        HttpClient.PendingCall pending = client.callAsync(call);
        try (Socket socket = server.accept()) {
            answer(socket, "HTTP/1.1 200 OK\r\n" + fields.replace("|", "\r\n") + "\r\n\r\n5\r\nwhole\r\n");
        }
        assertEquals(Optional.empty(), body(pending.await(TIMEOUT)));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "Transfer-Encoding: CHUNKED",
                "Transfer-Encoding: chunked|Transfer-Encoding: chunked",
                "Transfer-Encoding: chunked|Content-Length: 3"
            })
    void shouldTakeAnswerInChunks(String fields) throws Exception {
        assertTaken(fields, "5\r\nwhole\r\n0\r\n\r\n");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "A: b",
                "Content-Length: 5",
                "Content-Length: 5|Content-Length: 5",
                "Transfer-Encoding: identity",
                "Transfer-Encoding: Identity|Content-Length: 5"
            })
    void shouldTakeAnswerWithOrWithoutLength(String fields) throws Exception {
        assertTaken(fields, "whole");
    }

    private void assertTaken(String fields, String content) throws Exception {
        HttpClient.PendingCall pending = client.callAsync(call);
        try (Socket socket = server.accept()) {
            answer(socket, "HTTP/1.1 200 OK\r\n" + fields.replace("|", "\r\n") + "\r\n\r\n" + content);
        }
        assertEquals(Optional.of("whole"), body(pending.await(TIMEOUT)));
    }
}
