package org.micabarrow.serving;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.micabarrow.AnswerReader;
import org.micabarrow.Await;
import org.micabarrow.SocketText;
import org.micabarrow.platform.standin.HostedSystem;
import org.micabarrow.process.HostedEntryProcess;
import org.micabarrow.settings.HostedSettings;
import org.micabarrow.transport.Addresses;

/** An answer that breaks off must not look complete, however its client asks and whatever breaks it off. */
class IncompleteAnswerTest {

    /** Ends a test that hangs. */
    private static final int HANG_MILLIS = 20_000;

    private static final long GRACE_MILLIS = 2_000;

    private static final String EVENT = "id: 1\ndata: one\n\n";

    /** More than the entry holds back of a plain answer. */
    private static final String LONG_TEXT = "x".repeat(300 * 1024);

    private HostedSystem platform;
    private ServerSocket endpoint;
    private HostedSettings settings;
    private HostedEntryProcess entry;
    private final CountDownLatch mayEnd = new CountDownLatch(1);

    /** How the client asks. */
    private enum Asking {
        KEPT("HTTP/1.1", ""),
        CLOSE("HTTP/1.1", "Connection: close\r\n"),
        CLOSE_AMONG_OTHERS("HTTP/1.1", "Connection: Close, TE\r\n"),
        AFTER_STOP_BEGAN("HTTP/1.1", ""),
        WITHOUT_CHUNKS("HTTP/1.0", ""),
        WITHOUT_CHUNKS_KEPT("HTTP/1.0", "Connection: keep-alive\r\n");

        private final String version;
        private final String fields;

        Asking(String version, String fields) {
            this.version = version;
            this.fields = fields;
        }
    }

    /** What breaks the answer off. */
    private enum Break {
        ENDPOINT_RESETS,
        ENDPOINT_CLOSES,
        TIME_IS_UP,
        GRACE_IS_OVER
    }

    private enum Content {
        STREAM("/stream/x", "text/event-stream", EVENT),
        LONG("/once/x", "text/plain", LONG_TEXT);

        private final String path;
        private final String type;
        private final String part;

        Content(String path, String type, String part) {
            this.path = path;
            this.type = type;
            this.part = part;
        }
    }

    private static Stream<Arguments> breaks() {
        return Arrays.stream(Asking.values())
                .flatMap(asking -> Stream.concat(
                        Arrays.stream(Break.values()).map(how -> Arguments.of(asking, how, Content.STREAM)),
                        Stream.of(Arguments.of(asking, Break.ENDPOINT_RESETS, Content.LONG))));
    }

    private static Stream<Arguments> wholeAnswers() {
        return Arrays.stream(Asking.values())
                .flatMap(asking -> Arrays.stream(Content.values()).map(content -> Arguments.of(asking, content)));
    }

    @BeforeEach
    void start() throws Exception {
        platform = HostedSystem.start();
        platform.publishManifest(2, "key-a", HANG_MILLIS);
        endpoint = new ServerSocket(0);
        settings = GracePeriods.withGrace(platform.entrySettings(), GRACE_MILLIS);
        platform.setAddress("raw-1", "127.0.0.1:" + endpoint.getLocalPort());
    }

    @AfterEach
    void stop() throws Exception {
        mayEnd.countDown();
        endpoint.close();
        platform.close();
    }

    // -- the endpoint, which answers in chunks

    @FunctionalInterface
    private interface Ending {
        void end(Socket socket) throws Exception;
    }

    private void answer(Content content, Ending ending) {
        platform.register("raw-1", content == Content.STREAM ? "models" : "plain", 1, "ready");
        Thread.ofPlatform().daemon().start(() -> {
            try (Socket socket = endpoint.accept()) {
                SocketText.readUntil(socket.getInputStream(), "a body");
                String head = "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nServer-Seal: s\r\nWeight-Versions: 1\r\n"
                        + "Content-Type: " + content.type + "\r\nTransfer-Encoding: chunked\r\n\r\n";
                String chunk = Integer.toHexString(content.part.length()) + "\r\n" + content.part + "\r\n";
                socket.getOutputStream().write((head + chunk).getBytes(StandardCharsets.US_ASCII));
                mayEnd.await();
                ending.end(socket);
            } catch (Exception e) {
                throw new IllegalStateException("the endpoint could not answer", e);
            }
        });
    }

    private static Ending ending(Break how) {
        return switch (how) {
            case ENDPOINT_RESETS -> socket -> socket.setSoLinger(true, 0);
            case ENDPOINT_CLOSES -> socket -> {};
            case TIME_IS_UP, GRACE_IS_OVER -> IncompleteAnswerTest::awaitEnd;
        };
    }

    /** The entry resets what it gives up. */
    private static void awaitEnd(Socket socket) throws IOException {
        SocketText.readToEnd(socket.getInputStream());
    }

    // -- the client

    private Socket connect() throws IOException {
        Socket client = new Socket();
        client.connect(Addresses.parse(settings.listen().clients().orElseThrow()));
        client.setSoTimeout(HANG_MILLIS);
        return client;
    }

    private static AnswerReader ask(Socket client, Asking asking, String path, long deadlineMillis) throws IOException {
        String request = "POST " + path + " " + asking.version
                + "\r\nHost: h.example\r\nKey: key-a\r\nAttempt-Id: a\r\n"
                + "Model: model-a\r\nToken-Count: 100,20\r\nDeadline-Ms: " + deadlineMillis + "\r\n" + asking.fields
                + "Content-Length: 6\r\n\r\na body";
        client.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        return new AnswerReader(client.getInputStream());
    }

    private AnswerReader ask(Socket client, Asking asking, Content content, long deadlineMillis) throws Exception {
        if (asking == Asking.AFTER_STOP_BEGAN) {
            beginStop();
            Await.until("connections are closed after their next answer", this::closesConnections);
        }
        return ask(client, asking, content.path, deadlineMillis);
    }

    private boolean closesConnections() {
        try (Socket client = connect()) {
            AnswerReader refusal = ask(client, Asking.KEPT, "/nothing", HANG_MILLIS);
            assertTrue(refusal.readsComplete());
            return refusal.text().toLowerCase(Locale.ROOT).contains("\r\nconnection: close\r\n");
        } catch (IOException e) {
            throw new IllegalStateException("the entry cannot be asked", e);
        }
    }

    private void beginStop() {
        CompletableFuture.runAsync(() -> {
            try {
                entry.close();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
    }

    private void startEntry() throws IOException {
        entry = HostedEntryProcess.start(settings);
        Await.until("a manifest and the endpoint", () -> entry.takesRequests() && entry.endpoints() == 1);
    }

    @ParameterizedTest
    @MethodSource("breaks")
    void shouldNotLookCompleteWhenAnswerBreaksOff(Asking asking, Break how, Content content) throws Exception {
        answer(content, ending(how));
        startEntry();
        try (Socket client = connect()) {
            AnswerReader answer = ask(client, asking, content, how == Break.TIME_IS_UP ? 600 : HANG_MILLIS);
            answer.readUntil(content.part.substring(0, EVENT.length()));
            if (how == Break.GRACE_IS_OVER && asking != Asking.AFTER_STOP_BEGAN) {
                beginStop();
            }
            mayEnd.countDown();
            assertFalse(answer.readsComplete(), () -> answer.text().split("\r\n\r\n")[0]);
        }
    }

    @ParameterizedTest
    @MethodSource("wholeAnswers")
    void shouldLookCompleteWhenAnswerIsWhole(Asking asking, Content content) throws Exception {
        answer(content, socket -> socket.getOutputStream().write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII)));
        startEntry();
        try (Socket client = connect()) {
            AnswerReader answer = ask(client, asking, content, HANG_MILLIS);
            answer.readUntil(content.part.substring(0, EVENT.length()));
            mayEnd.countDown();
            assertTrue(answer.readsComplete(), answer::text);
        }
    }
}
