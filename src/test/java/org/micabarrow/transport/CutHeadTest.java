package org.micabarrow.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.micabarrow.SocketText;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Result;
import org.micabarrow.transport.HttpClient.HttpResponse;

/** A response whose head breaks off is no response, wherever it ends and however the connection does. */
class CutHeadTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final String WHOLE = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";

    private ServerSocket server;
    private HttpClient client;
    private HttpCall call;

    @BeforeEach
    void start() throws IOException {
        server = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
        client = HttpClient.start("test", 1);
        call = HttpCall.post(
                Fault.Step.RUN,
                URI.create("http://127.0.0.1:" + server.getLocalPort()),
                "a body".getBytes(StandardCharsets.US_ASCII));
    }

    @AfterEach
    void stop() throws IOException {
        client.close();
        server.close();
    }

    private static void readRequest(Socket socket) throws IOException {
        SocketText.readUntil(socket.getInputStream(), "a body");
    }

    /** What the client makes of the last of several responses on one connection, after which the connection ends. */
    private Result<HttpResponse> lastResult(List<String> responses, boolean reset) throws IOException {
        HttpClient.PendingCall pending = client.callAsync(call);
        Result<HttpResponse> result = null;
        try (Socket socket = server.accept()) {
            for (int i = 0; i < responses.size(); i++) {
                readRequest(socket);
                socket.getOutputStream().write(responses.get(i).getBytes(StandardCharsets.US_ASCII));
                if (i < responses.size() - 1) {
                    pending.await(TIMEOUT);
                    pending = client.callAsync(call);
                }
            }
            socket.setSoLinger(reset, 0);
        }
        return pending.await(TIMEOUT);
    }

    private static List<String> cutHeads(String response) {
        int headLength = response.indexOf("\r\n\r\n") + 4;
        List<String> cut = new ArrayList<>();
        for (int length = 0; length < headLength; length++) {
            cut.add(response.substring(0, length));
        }
        return cut;
    }

    @ParameterizedTest
    @CsvSource({"false, false", "false, true", "true, false", "true, true"})
    void shouldFailWhereverHeadIsCut(boolean keptConnection, boolean reset) throws Exception {
        List<String> heads = new ArrayList<>();
        heads.addAll(cutHeads("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nAttempt-Id: a\r\nServer-Seal: s\r\n\r\n"));
        heads.addAll(cutHeads("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
        heads.addAll(cutHeads("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"));
        heads.addAll(cutHeads("HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n"));
        List<String> taken = new ArrayList<>();
        for (String head : heads) {
            Result<HttpResponse> result = lastResult(keptConnection ? List.of(WHOLE, head) : List.of(head), reset);
            result.toOptional()
                    .ifPresent(response -> taken.add(head.replace("\r\n", "|") + " as " + response.status()));
        }
        assertEquals(List.of(), taken);
    }

    /** The body of an answer without a length that ends within what looks like another head. */
    @ParameterizedTest
    @CsvSource({"HTTP/1.1 200 OK", "HTTP/1.1 200 OK|Content-Length: 9|", "|", "||HTTP/1.1 100 Continue||"})
    void shouldTakeBytesAfterHeadAsBody(String text) throws Exception {
        String body = text.replace("|", "\r\n");
        HttpResponse response = lastResult(List.of("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body), false)
                .toOptional()
                .orElseThrow();
        assertEquals(body, new String(response.body(), StandardCharsets.US_ASCII));
    }
}
