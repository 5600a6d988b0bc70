package org.micabarrow.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.undertow.util.Headers;
import java.io.IOException;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.micabarrow.Await;
import org.micabarrow.SocketText;
import org.micabarrow.standin.Ports;

/** Guards against messages whose many small fields become far more in memory than they are on the wire. */
class SmallFieldsTest {

    /** How many fields are written at once: fewer than a message may have. */
    private static final int FIELDS = 900;

    /** How many clients send part of a head, each below the limits of a single one. */
    private static final int CLIENTS = 2_500;

    private static final int FIELDS_PER_CLIENT = 190;
    private static final int HANG_SECONDS = 60;

    private final List<AutoCloseable> opened = new ArrayList<>();

    @AfterEach
    void stop() throws Exception {
        for (AutoCloseable resource : opened) {
            resource.close();
        }
    }

    private static String fields(int first, int count) {
        StringBuilder text = new StringBuilder();
        IntStream.range(first, first + count)
                .forEach(number -> text.append(Integer.toHexString(number)).append(":\r\n"));
        return text.toString();
    }

    private static String first(String form) {
        return switch (form) {
            case "head", "part of a head" -> "HTTP/1.1 200 OK\r\n";
            case "interim" -> "HTTP/1.1 100 Continue\r\n\r\n".repeat(100);
            case "trailer" ->
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n40000\r\n" + "y".repeat(0x40000) + "\r\n0\r\n";
            default -> throw new IllegalArgumentException(form);
        };
    }

    /** A server whose answers never end. */
    private final class EndlessFields {

        private final ServerSocket server = new ServerSocket(0);
        private final String form;

        private EndlessFields(String form) throws IOException {
            this.form = form;
            opened.add(server);
            Thread.ofVirtual().start(this::accept);
        }

        private void accept() {
            try {
                while (true) {
                    Socket socket = server.accept();
                    Thread.ofVirtual().start(() -> answer(socket));
                }
            } catch (IOException e) {
                // The test has ended.
            }
        }

        private void answer(Socket socket) {
            try (socket) {
                SocketText.readUntil(socket.getInputStream(), "\r\n\r\n");
                OutputStream out = socket.getOutputStream();
                out.write(first(form).getBytes(StandardCharsets.US_ASCII));
                out.write(fields(0, FIELDS).getBytes(StandardCharsets.US_ASCII));
                if (form.equals("part of a head")) {
                    // Until the peer closes.
                    socket.getInputStream().read();
                }
                for (int number = FIELDS; true; number += FIELDS) {
                    out.write(fields(number, FIELDS).getBytes(StandardCharsets.US_ASCII));
                }
            } catch (IOException e) {
                // Closed by the peer, as it should be.
            }
        }
    }

    private Process start(List<String> arguments) throws IOException {
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        String classes = System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
        List<String> command = new ArrayList<>(
                List.of(java, "-Xmx64m", "-XX:+UseSerialGC", "-XX:+ExitOnOutOfMemoryError", "-cp", classes));
        command.add(SmallHeapProcess.class.getName());
        command.addAll(arguments);
        Process process = new ProcessBuilder(command)
                .redirectError(ProcessBuilder.Redirect.DISCARD)
                .start();
        opened.add(process::destroyForcibly);
        return process;
    }

    /** All that it writes, which tells of calls that failed. */
    private static String output(Process process) throws IOException {
        return process.inputReader().lines().collect(Collectors.joining("\n"));
    }

    @ParameterizedTest
    @CsvSource({"head, 1", "head, 4", "head, 8", "head, 16", "part of a head, 16", "interim, 16", "trailer, 16"})
    void shouldAnswerSoundRequestsWhenFieldsOfOtherAnswersHaveNoEnd(String form, int endless) throws Exception {
        String sound = Ports.freeAddress();
        opened.add(HttpListener.start(
                sound,
                HttpListener.Limits.defaults(),
                1,
                Optional.empty(),
                exchange -> exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, 0)));
        List<String> arguments = new ArrayList<>(List.of("calls", sound));
        for (int i = 0; i < endless; i++) {
            arguments.add("127.0.0.1:" + new EndlessFields(form).server.getLocalPort());
        }
        Process process = start(arguments);
        assertEquals("answered 200 of 200", output(process));
        assertTrue(process.waitFor(HANG_SECONDS, TimeUnit.SECONDS));
        assertEquals(0, process.exitValue());
    }

    @ParameterizedTest
    @ValueSource(strings = {"serves", "listens"})
    void shouldAnswerSoundClientWhenManyOthersSendPartOfHead(String form) throws Exception {
        String address = Ports.freeAddress();
        Process process = start(List.of(form, address));
        assertEquals("serves", process.inputReader().readLine());
        byte[] part = ("GET / HTTP/1.1\r\n" + fields(0, FIELDS_PER_CLIENT)).getBytes(StandardCharsets.US_ASCII);
        List<Socket> clients = new ArrayList<>();
        opened.add(() -> {
            for (Socket client : clients) {
                client.close();
            }
        });
        for (int i = 0; i < CLIENTS; i++) {
            Socket client = new Socket();
            client.connect(Addresses.parse(address));
            clients.add(client);
            client.getOutputStream().write(part);
        }
        Await.until("an answer", () -> process.isAlive() && isAnswered(address));
        assertTrue(process.isAlive(), "it has ended");
    }

    private static boolean isAnswered(String address) {
        try (Socket sound = new Socket()) {
            sound.setSoTimeout(HANG_SECONDS * 1_000);
            sound.connect(Addresses.parse(address));
            sound.getOutputStream().write("GET / HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            SocketText.readUntil(sound.getInputStream(), "\r\n\r\n");
            return true;
        } catch (IOException e) {
            return false;
        }
    }
}
