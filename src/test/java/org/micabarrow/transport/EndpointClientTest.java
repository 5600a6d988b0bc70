package org.micabarrow.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.micabarrow.SocketText;
import org.micabarrow.coordination.endpoint.EndpointCalls;
import org.micabarrow.state.Fault;

/** What an agent learns of the endpoint beside it when an answer has ended with its connection. */
class EndpointClientTest {

    private static final long TIMEOUT_SECONDS = 5;
    private static final String UNSTATED = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nhalf";
    private static final String REFUSED = "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n";

    private HttpClient http;
    private ServerSocket endpoint;
    private EndpointClient client;

    @BeforeEach
    void start() throws IOException {
        http = HttpClient.start("test", 1);
        endpoint = new ServerSocket(0);
        client = new EndpointClient(http, "http://127.0.0.1:" + endpoint.getLocalPort());
    }

    @AfterEach
    void stop() throws IOException {
        endpoint.close();
        http.close();
    }

    /** Answers one request after the other, each on its own connection, and then ends as a killed process does. */
    private void answer(String... responses) {
        Thread.ofPlatform().daemon().start(() -> {
            for (int i = 0; i < responses.length; i++) {
                try (Socket socket = endpoint.accept()) {
                    SocketText.readUntil(socket.getInputStream(), "\r\n\r\n");
                    socket.getOutputStream().write(responses[i].getBytes(StandardCharsets.US_ASCII));
                    if (i == responses.length - 1) {
                        endpoint.close();
                    }
                } catch (IOException e) {
                    throw new IllegalStateException("the endpoint did not get its request", e);
                }
            }
        });
    }

    /** Whether the endpoint is found to run after its answer has ended with its connection. */
    private boolean runningAfterAnswer() throws Exception {
        CompletableFuture<Boolean> running = new CompletableFuture<>();
        client.send(
                new EndpointCalls.Call("attempt", "GET", "/", "text/plain", new byte[0], 0, ""),
                new EndpointCalls.Listener() {
                    @Override
                    public void onHead(int status, String type, Optional<String> attempt, Optional<String> version) {}

                    @Override
                    public void onData(byte[] data, Runnable more) {
                        more.run();
                    }

                    @Override
                    public void onComplete(boolean endStated) {
                        client.askWhetherRunning(running::complete);
                    }

                    @Override
                    public void onFailed(Fault fault, boolean sent) {
                        running.completeExceptionally(new IllegalStateException(fault.toString()));
                    }
                });
        return running.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    @Test
    void shouldNotFindEndpointRunningWhenItDiedWithinItsAnswer() throws Exception {
        answer(UNSTATED);
        assertEquals(false, runningAfterAnswer());
    }

    @Test
    void shouldFindEndpointRunningWhenItAnswersInAnyWay() throws Exception {
        answer(UNSTATED, REFUSED);
        assertEquals(true, runningAfterAnswer());
    }
}
