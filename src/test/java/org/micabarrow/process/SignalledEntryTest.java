package org.micabarrow.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.micabarrow.Await;
import org.micabarrow.SocketText;
import org.micabarrow.clock.MonotonicClock;
import org.micabarrow.command.Main;
import org.micabarrow.platform.standin.HostedEndpointStandin.Behaviour;
import org.micabarrow.platform.standin.HostedSystem;
import org.micabarrow.settings.HostedSettings;
import org.micabarrow.transport.Addresses;
import org.micabarrow.transport.HttpCall;
import org.micabarrow.transport.HttpClient;

/** A process that gets signals within its grace answers what it has read, and takes nothing that it could not answer. */
class SignalledEntryTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final long GRACE_MILLIS = 3_000;

    /** The exit code of a virtual machine that SIGTERM ended. */
    private static final int TERMINATED = 143;

    @TempDir
    private Path directory;

    private HostedSystem platform;
    private HostedSettings settings;
    private HttpClient client;
    private Process process;

    @BeforeEach
    void start() throws IOException {
        platform = HostedSystem.start();
        platform.publishManifest(2, "key-a", TIMEOUT.toMillis());
        platform.addEndpoint("plain-1", "plain", 0);
        settings = platform.entrySettings();
        client = HttpClient.start("client", 1);
        process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("surefire.test.class.path", System.getProperty("java.class.path")),
                        Main.class.getName(),
                        "hosted-entry",
                        "--settings",
                        writeSettings().toString())
                .redirectErrorStream(true)
                .start();
        HttpCall first = HostedSystem.request(settings.listen().clients().orElseThrow(), "/again/x", "first");
        Await.until(
                "an answer",
                () -> client.call(first, TIMEOUT)
                        .toOptional()
                        .filter(response -> response.status() == 200)
                        .isPresent());
    }

    @AfterEach
    void stop() throws Exception {
        process.destroyForcibly();
        client.close();
        platform.close();
    }

    private Path writeSettings() throws IOException {
        HostedSettings.Listen listen = settings.listen();
        return Files.writeString(directory.resolve("entry.jsonc"), """
                {
                  "instance": { "id": "entry-1", "region": "region-a", "hall": "hall-a" },
                  "regions": { "hall-a": "region-a", "hall-b": "region-b" },
                  "listen": { "clients": "%s", "ready": "%s", "peers": "%s", "metrics": "%s" },
                  "peerPort": %d, "seeds": [], "store": "%s", "linkBitsPerSecond": 1e9,
                  "bounds": {
                    "versionMillis": 2000, "configurationMillis": 2000, "drainMillis": 2000, "graceMillis": %d,
                    "retryShare": 0.2, "retrySlack": 160, "crashMemoryMillis": 600000, "crashesKept": 1000
                  },
                  "log": { "format": "text", "level": "info" }
                }
                """.formatted(
                        listen.clients().orElseThrow(),
                        listen.ready().orElseThrow(),
                        listen.peers(),
                        listen.metrics(),
                        settings.peerPort(),
                        settings.store(),
                        GRACE_MILLIS));
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket();
        socket.setSoTimeout((int) TIMEOUT.toMillis());
        socket.connect(Addresses.parse(settings.listen().clients().orElseThrow()));
        return socket;
    }

    private static void send(Socket connection) throws IOException {
        String request = "POST /once/x HTTP/1.1\r\nHost: h.example\r\nKey: key-a\r\nAttempt-Id: a\r\n"
                + "Deadline-Ms: 9000\r\nContent-Length: 6\r\n\r\na body";
        connection.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
    }

    private void signal(String name) throws Exception {
        Process kill = new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid())).start();
        assertEquals(0, kill.waitFor());
    }

    private void awaitLeaving() throws IOException {
        BufferedReader log = process.inputReader();
        String line = log.readLine();
        while (line != null && !line.contains("event=leaving")) {
            line = log.readLine();
        }
        assertTrue(line != null, "it ended without a line about it");
    }

    private void awaitEnd() throws InterruptedException {
        assertTrue(process.waitFor(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS), "it goes on");
        assertEquals(TERMINATED, process.exitValue());
    }

    @Test
    void shouldAnswerOpenRequestWhenTerminatedTwice() throws Exception {
        platform.enqueueBehaviour(Behaviour.NEVER_ANSWER);
        try (Socket open = connect()) {
            send(open);
            Await.until("the open request", () -> platform.endpoint("plain-1").unansweredCount() == 1);
            signal("TERM");
            awaitLeaving();
            signal("TERM");
            SocketText.readUntil(open.getInputStream(), "HTTP/1.1 504");
            awaitEnd();
        }
    }

    @Test
    void shouldRefuseWhatArrivedWhileSuspendedWithinGrace() throws Exception {
        try (Socket resting = connect()) {
            send(resting);
            SocketText.readUntil(resting.getInputStream(), "whole");
            signal("TERM");
            awaitLeaving();
            int receivedBefore = platform.endpoint("plain-1").received().size();
            long suspendedMillis = MonotonicClock.millis();
            signal("STOP");
            send(resting);
            Await.until("half of the grace", () -> MonotonicClock.millis() - suspendedMillis > GRACE_MILLIS / 2);
            signal("CONT");
            SocketText.readUntil(resting.getInputStream(), "HTTP/1.1 503");
            awaitEnd();
            assertEquals(receivedBefore, platform.endpoint("plain-1").received().size());
        }
    }
}
