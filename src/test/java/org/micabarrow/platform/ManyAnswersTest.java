package org.micabarrow.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.micabarrow.SocketText;
import org.micabarrow.standin.Ports;
import org.micabarrow.transport.HttpListener;

/** Guards against bodies that are collected at once, each within its bound, and together fill the heap of an agent. */
class ManyAnswersTest {

    /** The longest manifest that the store takes. */
    private static final int MANIFEST_BYTES = 4 << 20;

    /** The length of bodies that have an end: below what is collected of one. */
    private static final int WHOLE_BYTES = 7_000_000;

    private static final int WRITE_BYTES = 64 * 1024;

    /** Paces each body to some 6 MB/s, so that the test does not depend on how fast loopback is. */
    private static final long WRITE_PAUSE_NANOS = 10_000_000;

    private static final int HANG_SECONDS = 60;

    private final List<AutoCloseable> opened = new ArrayList<>();

    @AfterEach
    void stop() throws Exception {
        for (AutoCloseable resource : opened) {
            resource.close();
        }
    }

    // -- the sound server

    private static String manifest() {
        StringBuilder json = new StringBuilder("{\"version\":1,\"services\":[],\"routes\":[");
        for (int i = 0; json.length() < MANIFEST_BYTES - 1_000; i++) {
            json.append(i == 0 ? "" : ",")
                    .append("{\"name\":\"route-%d\",\"host\":\"host-%d.example.org\",\"path_prefix\":\"/v1/%d/\","
                            .formatted(i, i % 100, i))
                    .append("\"kind\":\"idempotent\",\"service\":\"service-1\",\"timeout_ms\":20000,\"priority\":1,")
                    .append("\"target_latency_ms\":2000,\"max_attempts\":3,\"public\":true,\"allowed_regions\":[]}");
        }
        return json.append("]}").toString();
    }

    private String soundServer() {
        String page = "{\"items\":[{\"private_key\":\"config\",\"offset\":4,\"value\":\""
                + Base64.getEncoder().encodeToString(manifest().getBytes(StandardCharsets.US_ASCII))
                + "\"}],\"end\":5,\"has_more\":false}";
        String address = Ports.freeAddress();
        opened.add(HttpListener.start(
                address, HttpListener.Limits.defaults(), 1, Optional.empty(), exchange -> answer(exchange, page)));
        return address;
    }

    private static void answer(HttpServerExchange exchange, String page) {
        exchange.getResponseSender()
                .send(exchange.getRequestPath().equals(WireNames.LOG_NEWEST) ? page : "{\"models\":[]}");
    }

    // -- the other

    private static String begin(String form) {
        String ok = "HTTP/1.1 200 OK\r\n";
        String length = "Content-Length: " + WHOLE_BYTES + "\r\n\r\n";
        return switch (form) {
            case "to the close" -> ok + "\r\n";
            case "one great chunk" -> ok + "Transfer-Encoding: chunked\r\n\r\nfffffffff\r\n";
            case "of an error" -> "HTTP/1.1 503 Busy\r\nTransfer-Encoding: chunked\r\n\r\nfffffffff\r\n";
            case "fields of a trailer" -> ok + "Transfer-Encoding: chunked\r\n\r\n1\r\ny\r\n0\r\n";
            case "whole" -> ok + length;
            case "whole, of empty objects" -> ok + length + "{\"end\":1,\"items\":[{}";
            default -> throw new IllegalArgumentException(form);
        };
    }

    private static String repeated(String form) {
        return switch (form) {
            case "fields of a trailer" -> "a:\r\n";
            case "whole, of empty objects" -> ",{}";
            default -> "y";
        };
    }

    /** Answers each request with a body that has no end, or ends where it stated. */
    private String otherServer(String form) throws IOException {
        ServerSocket server = new ServerSocket(0);
        opened.add(server);
        Thread.ofVirtual().start(() -> {
            try {
                while (true) {
                    Socket socket = server.accept();
                    Thread.ofVirtual().start(() -> answer(socket, form));
                }
            } catch (IOException e) {
                // The test has ended.
            }
        });
        return "127.0.0.1:" + server.getLocalPort();
    }

    private static void answer(Socket socket, String form) {
        String head = begin(form);
        String end = form.endsWith("objects") ? "]}" : "";
        long bodyBytes = form.startsWith("whole")
                ? WHOLE_BYTES - head.length() + head.indexOf("\r\n\r\n") + 4 - end.length()
                : Long.MAX_VALUE;
        byte[] block =
                repeated(form).repeat(WRITE_BYTES / repeated(form).length()).getBytes(StandardCharsets.US_ASCII);
        try (socket) {
            while (true) {
                SocketText.readUntil(socket.getInputStream(), "\r\n\r\n");
                OutputStream out = socket.getOutputStream();
                out.write(head.getBytes(StandardCharsets.US_ASCII));
                long left = bodyBytes;
                for (; left >= block.length; left -= block.length) {
                    out.write(block);
                    LockSupport.parkNanos(WRITE_PAUSE_NANOS);
                }
                int rest = (int) (left - left % repeated(form).length());
                out.write(block, 0, rest);
                out.write((" ".repeat((int) left - rest) + end).getBytes(StandardCharsets.US_ASCII));
            }
        } catch (IOException e) {
            // Closed by the peer, as it should be.
        }
    }

    // -- the process

    private Process start(String sound, String other) throws IOException {
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        String classes = System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
        Process process = new ProcessBuilder(
                        java,
                        "-Xmx64m",
                        "-XX:+UseSerialGC",
                        "-XX:+ExitOnOutOfMemoryError",
                        "-cp",
                        classes,
                        ManyAnswersProcess.class.getName(),
                        sound,
                        other)
                .redirectError(ProcessBuilder.Redirect.DISCARD)
                .start();
        opened.add(process::destroyForcibly);
        return process;
    }

    private void assertSoundAnswersRead(String other) throws Exception {
        Process process = start(soundServer(), other);
        String output = process.inputReader().lines().collect(Collectors.joining("\n"));
        assertEquals("reports 100, manifests 2", output);
        assertTrue(process.waitFor(HANG_SECONDS, TimeUnit.SECONDS));
        assertEquals(0, process.exitValue());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "to the close",
                "one great chunk",
                "of an error",
                "fields of a trailer",
                "whole",
                "whole, of empty objects"
            })
    void shouldReadSoundAnswersWhenStoreOriginPeersAndEndpointSendLongBodies(String form) throws Exception {
        assertSoundAnswersRead(otherServer(form));
    }

    @Test
    void shouldReadLongestManifestWhenNothingElseIsRead() throws Exception {
        assertSoundAnswersRead(Ports.freeAddress());
    }
}
