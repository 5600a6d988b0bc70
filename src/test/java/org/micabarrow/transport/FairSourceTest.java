package org.micabarrow.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.micabarrow.Await;
import org.micabarrow.EndlessEndpoint;
import org.micabarrow.SocketText;
import org.micabarrow.headers.HeaderFields;
import org.micabarrow.state.Fault;
import org.xnio.XnioWorker;

/** Guards against an answer that keeps the thread of all others, and against one that is delivered in needlessly many parts. */
class FairSourceTest {

    /** Some turns of bytes, besides the first one. */
    private static final long WAITING_BYTES = 128 * 1024;

    /** How many parts are looked at; all come from bytes that wait. */
    private static final int PARTS = 4;

    private static final int SMALL_CHUNKS = 2_000;

    private static final int HANG_SECONDS = 20;
    private static final String HEAD = "HTTP/1.1 200 OK\r\n";

    private final List<String> order = new CopyOnWriteArrayList<>();
    private XnioWorker worker;
    private HttpClient client;

    @BeforeEach
    void start() throws IOException {
        worker = HttpClient.worker("test", 1);
        client = HttpClient.onWorker(worker, 0);
    }

    @AfterEach
    void stop() {
        worker.shutdownNow();
    }

    /** Notes its parts; the first one is taken when the test says so. */
    private final class Parts implements HttpClient.Listener {

        private final String name;
        private final AtomicReference<Runnable> first = new AtomicReference<>();
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private final CompletableFuture<String> ended = new CompletableFuture<>();
        private final AtomicInteger received = new AtomicInteger();

        private Parts(String name) {
            this.name = name;
        }

        @Override
        public void onHead(int status, HeaderFields headers) {}

        @Override
        public void onData(byte[] data, Runnable requestMore) {
            body.writeBytes(data);
            received.addAndGet(data.length);
            if (!first.compareAndSet(null, requestMore)) {
                order.add(name);
                requestMore.run();
            }
        }

        @Override
        public void onComplete(BodyEnd end) {
            ended.complete("whole, to " + end);
        }

        @Override
        public void onFailed(Fault fault, boolean sent) {
            ended.complete(fault.message());
        }
    }

    private void send(String address, Parts parts) {
        client.send(HttpCall.get(Fault.Step.READ, URI.create("http://" + address + "/")), parts);
    }

    @Test
    void shouldReadInTurnsWhenBytesWaitOnTwoConnections() throws Exception {
        Parts one = new Parts("one");
        Parts other = new Parts("other");
        try (EndlessEndpoint first = new EndlessEndpoint(HEAD + "\r\n", "y");
                EndlessEndpoint second = new EndlessEndpoint(HEAD + "\r\n", "y")) {
            send(first.address(), one);
            send(second.address(), other);
            Await.until("a part of each", () -> one.first.get() != null && other.first.get() != null);
            Await.until("more of each", () -> first.sentBytes() > WAITING_BYTES && second.sentBytes() > WAITING_BYTES);
            worker.getIoThread().execute(() -> {
                one.first.get().run();
                other.first.get().run();
            });
            Await.until("more parts", () -> order.size() >= PARTS);
        }
        // Parts may still be added.
        List<String> firstParts = List.copyOf(order).subList(0, PARTS);
        assertTrue(firstParts.contains("one") && firstParts.contains("other"), firstParts::toString);
    }

    @Test
    void shouldDeliverSmallChunksTogether() throws Exception {
        Parts parts = new Parts("chunks");
        parts.first.set(() -> {});
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            send("127.0.0.1:" + server.getLocalPort(), parts);
            try (Socket socket = server.accept()) {
                SocketText.readUntil(socket.getInputStream(), "\r\n\r\n");
                String answer =
                        HEAD + "Transfer-Encoding: chunked\r\n\r\n" + "1\r\ny\r\n".repeat(SMALL_CHUNKS) + "0\r\n\r\n";
                socket.getOutputStream().write(answer.getBytes(StandardCharsets.US_ASCII));
                assertEquals("whole, to STATED", parts.ended.get(HANG_SECONDS, TimeUnit.SECONDS));
            }
        }
        assertEquals("y".repeat(SMALL_CHUNKS), parts.body.toString(StandardCharsets.US_ASCII));
        assertTrue(order.size() <= SMALL_CHUNKS / 10, () -> order.size() + " parts");
    }

    /** A body to the end of its connection looks whole if the reset is read as its end. */
    @ParameterizedTest
    @ValueSource(ints = {1, 1_000, 200_000})
    void shouldDeliverWhatCameBeforeResetAndFail(int bytes) throws Exception {
        Parts parts = new Parts("reset");
        parts.first.set(() -> {});
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            send("127.0.0.1:" + server.getLocalPort(), parts);
            try (Socket socket = server.accept()) {
                SocketText.readUntil(socket.getInputStream(), "\r\n\r\n");
                socket.getOutputStream().write((HEAD + "\r\n" + "y".repeat(bytes)).getBytes(StandardCharsets.US_ASCII));
                Await.until("all bytes", () -> parts.received.get() == bytes);
                socket.setSoLinger(true, 0);
            }
            String end = parts.ended.get(HANG_SECONDS, TimeUnit.SECONDS);
            assertTrue(end.startsWith("the answer broke off"), end);
        }
    }
}
