package org.micabarrow.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.micabarrow.AnswerReader;
import org.micabarrow.SocketText;

/** A response of an entry that is killed must not look complete to its client. */
class KilledEntryTest {

    private static final int HANG_MILLIS = 10_000;

    private static Process startStreamingProcess(int port) throws IOException {
        Process process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("surefire.test.class.path", System.getProperty("java.class.path")),
                        StreamingProcess.class.getName(),
                        Integer.toString(port))
                .redirectError(ProcessBuilder.Redirect.INHERIT)
                .start();
        process.inputReader().readLine();
        return process;
    }

    private static int freePort() throws IOException {
        try (ServerSocket free = new ServerSocket(0)) {
            return free.getLocalPort();
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
                "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
                "GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n"
            })
    void shouldNotLookCompleteWhenEntryIsKilledWithinStream(String request) throws Exception {
        int port = freePort();
        Process process = startStreamingProcess(port);
        try (Socket client = new Socket("127.0.0.1", port)) {
            client.setSoTimeout(HANG_MILLIS);
            client.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            AnswerReader answer = new AnswerReader(client.getInputStream());
            answer.readUntil(StreamingProcess.FIRST_PART);
            process.destroyForcibly();
            assertFalse(answer.readsComplete(), answer::text);
        } finally {
            process.destroyForcibly();
        }
    }

    /** HTTP/1.0 has no chunks: the system's graceful close would end the body. */
    @Test
    void shouldResetConnectionOfOldClientWhenEntryIsKilledWithinStream() throws Exception {
        int port = freePort();
        Process process = startStreamingProcess(port);
        try (Socket client = new Socket("127.0.0.1", port)) {
            client.setSoTimeout(HANG_MILLIS);
            client.getOutputStream().write("GET / HTTP/1.0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            SocketText.readUntil(client.getInputStream(), StreamingProcess.FIRST_PART);
            process.destroyForcibly();
            SocketException reset = assertThrows(
                    SocketException.class, () -> client.getInputStream().read());
            assertEquals("Connection reset", reset.getMessage());
        } finally {
            process.destroyForcibly();
        }
    }
}
