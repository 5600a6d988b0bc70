package org.micabarrow.transport;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.URI;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.micabarrow.Await;
import org.micabarrow.EndlessEndpoint;
import org.micabarrow.headers.HeaderFields;
import org.micabarrow.state.Fault;
import org.xnio.XnioWorker;

/** Guards against an answer that keeps the thread of all others. */
class FairSourceTest {

    /** Some turns of bytes, besides the first one. */
    private static final long WAITING_BYTES = 128 * 1024;

    /** How many parts are looked at; all come from bytes that wait. */
    private static final int PARTS = 4;

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

        private Parts(String name) {
            this.name = name;
        }

        @Override
        public void onHead(int status, HeaderFields headers) {}

        @Override
        public void onData(byte[] data, Runnable requestMore) {
            if (!first.compareAndSet(null, requestMore)) {
                order.add(name);
                requestMore.run();
            }
        }

        @Override
        public void onComplete(BodyEnd end) {}

        @Override
        public void onFailed(Fault fault, boolean sent) {}
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
        List<String> firstParts = order.subList(0, PARTS);
        assertTrue(firstParts.contains("one") && firstParts.contains("other"), firstParts::toString);
    }
}
