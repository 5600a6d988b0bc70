package org.micabarrow.serving;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.micabarrow.Await;
import org.micabarrow.SocketText;
import org.micabarrow.settings.HostedSettings;
import org.micabarrow.transport.Addresses;

/** Guards against an entry that is filled by answers without an end whose clients read nothing of them. */
class SmallHeapUnreadAnswersTest extends ServingFixture {

    private static final int OK = 200;

    /** How many clients wait at a time, reading nothing. */
    private static final int CLIENTS = 96;

    private static final int SOUND_REQUESTS = 30;
    private static final int ENDPOINTS = 4;
    private static final int WRITE_BYTES = 64 * 1024;

    /** Paces each body to some 6 MB/s, so that the test does not depend on how fast loopback is. */
    private static final long WRITE_PAUSE_NANOS = 10_000_000;

    /** Takes little of an answer without a read; the system may round it up. */
    private static final int RECEIVE_BUFFER_BYTES = 1_024;

    private final List<AutoCloseable> opened = new ArrayList<>();

    @AfterEach
    void stop() throws Exception {
        for (AutoCloseable resource : opened) {
            resource.close();
        }
    }

    private static String begin(String form) {
        String head = "HTTP/1.1 200 OK\r\nAttempt-Id: attempt-1\r\nServer-Seal: s\r\n";
        return switch (form) {
            case "to the close" -> head + "\r\n";
            case "one great chunk" -> head + "Transfer-Encoding: chunked\r\n\r\nfffffffff\r\n";
            case "events" -> head + "Content-Type: text/event-stream\r\nWeight-Versions: 1\r\n\r\n";
            default -> throw new IllegalArgumentException(form);
        };
    }

    private static String repeated(String form) {
        return form.equals("events") ? "data: y\n\n" : "y";
    }

    private void endlessEndpoints(String form, String service, long version) throws IOException {
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
        for (int i = 1; i <= ENDPOINTS; i++) {
            platform.setAddress("endless-" + i, "127.0.0." + i + ":" + server.getLocalPort());
            platform.register("endless-" + i, service, version, "ready");
        }
    }

    private static void answer(Socket socket, String form) {
        byte[] block =
                repeated(form).repeat(WRITE_BYTES / repeated(form).length()).getBytes(StandardCharsets.US_ASCII);
        try (socket) {
            SocketText.readUntil(socket.getInputStream(), "\r\n\r\n");
            OutputStream out = socket.getOutputStream();
            out.write(begin(form).getBytes(StandardCharsets.US_ASCII));
            while (true) {
                out.write(block);
                LockSupport.parkNanos(WRITE_PAUSE_NANOS);
            }
        } catch (IOException e) {
            // Closed by the entry.
        }
    }

    private Process startEntry() throws IOException {
        HostedSettings.Listen listen = settings.listen();
        Process process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xmx64m",
                        "-XX:+UseSerialGC",
                        "-XX:MaxDirectMemorySize=32m",
                        "-XX:+ExitOnOutOfMemoryError",
                        "-cp",
                        System.getProperty("surefire.test.class.path", System.getProperty("java.class.path")),
                        SmallEntryProcess.class.getName(),
                        clientAddress(),
                        listen.ready().orElseThrow(),
                        listen.peers(),
                        listen.metrics(),
                        settings.store())
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .redirectError(ProcessBuilder.Redirect.DISCARD)
                .start();
        opened.add(process::destroyForcibly);
        return process;
    }

    private void connectUnread(String path) throws IOException {
        for (int i = 0; i < CLIENTS; i++) {
            Socket socket = new Socket();
            opened.add(socket);
            socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
            socket.connect(Addresses.parse(clientAddress()));
            socket.getOutputStream()
                    .write(("POST " + path + " HTTP/1.1\r\nHost: h.example\r\nKey: key-a\r\nAttempt-Id: attempt-1\r\n"
                                    + "Model: model-a\r\nToken-Count: 100,20\r\nDeadline-Ms: 60000\r\n"
                                    + "Content-Length: 0\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
        }
    }

    @ParameterizedTest
    @CsvSource({"to the close,    /again/x", "one great chunk, /once/x", "events,          /stream/x"})
    void shouldAnswerOthersWhenClientsOfEndlessAnswersDoNotRead(String form, String path) throws Exception {
        boolean stream = path.startsWith("/stream");
        platform.publishManifest(2, "key-a", TIMEOUT.toMillis());
        endlessEndpoints(form, stream ? "models" : "plain", stream ? 1 : 0);
        platform.addEndpoint("sound", stream ? "plain" : "models", stream ? 0 : 1);
        String sound = stream ? "/again/x" : "/stream/x";
        Process entry = startEntry();
        Await.until("the first answer", () -> sendRequest(sound).status() == OK);
        connectUnread(path);
        for (int i = 0; i < SOUND_REQUESTS; i++) {
            Await.until(
                    "an answer", () -> !entry.isAlive() || sendRequest(sound).status() == OK);
        }
        assertTrue(entry.isAlive(), "the entry has ended");
    }
}
