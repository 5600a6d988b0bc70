package org.micabarrow.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.micabarrow.Await;
import org.micabarrow.attempts.ClientRequest;
import org.micabarrow.coordination.admission.RetryBudget;
import org.micabarrow.platform.EndpointHeaders;
import org.micabarrow.platform.standin.HostedSystem;
import org.micabarrow.serving.ServingHandler.AgentQuestions;
import org.micabarrow.serving.ServingHandler.VersionTimes;
import org.micabarrow.transport.Addresses;
import org.micabarrow.transport.HttpCall;
import org.micabarrow.transport.HttpClient.HttpAnswer;

/**
 * What leaves an entry that stood still between its decision and the first byte of the request. The standstill is played on
 * the entry's clock, right after it has decided and before its connection is up.
 */
class LateSendingTest extends ServingFixture {

    /** Longer than an endpoint may take to accept a connection, and well within the client's time. */
    private static final long STANDSTILL_MILLIS = 700;

    /** Longer than an endpoint may take to accept a connection, as in a process that is slow all the time. */
    private static final long SLOW_MILLIS = 300;

    /** A pause that no connect limit shows. */
    private static final long SHORT_MILLIS = 200;

    private static final int MANY_REQUESTS = 100;

    /** What {@link HostedSystem#request} sends, for a client whose socket a test closes itself. */
    private static final String REQUEST =
            "POST /stream/x HTTP/1.1\r\nHost: h.example\r\nKey: key-a\r\nAttempt-Id: a\r\n"
                    + "Deadline-Ms: 3000\r\nModel: model-a\r\nToken-Count: 100,20\r\nContent-Length: 6\r\n\r\na body";

    /** How long the client of {@link HostedSystem#request} waits. */
    private static final long CLIENT_MILLIS = 3_000;

    private final AtomicReference<Runnable> afterDecision = new AtomicReference<>(() -> {});
    private final AtomicReference<Runnable> everyDecision = new AtomicReference<>(() -> {});

    /** How an agent's answer, which is to be run, comes. */
    private final AtomicReference<Consumer<Runnable>> agent = new AtomicReference<>(Runnable::run);

    @BeforeEach
    void start() {
        platform.manifest(2, "key-a", WITHIN.toMillis());
        platform.add("model-1", "models", 1);
        idleWith("model-1", 1);
    }

    /** Writes requests as the platform has them; what is to happen once after a decision does so when the first is written. */
    private final class StandingStill implements EndpointProtocol {

        private final EndpointHeaders headers = new EndpointHeaders();

        @Override
        public HttpCall call(ClientRequest request, Sending sending) {
            HttpCall call = headers.call(request, sending);
            afterDecision.getAndSet(() -> {}).run();
            everyDecision.get().run();
            return call;
        }

        @Override
        public AnswerHead head(ClientRequest request, int status, Map<String, String> received) {
            return headers.head(request, status, received);
        }
    }

    /** Starts to serve; older versions get nothing, and what they have not begun is cancelled, some time after the naming. */
    private void serve(long demandMillis, long cancelMillis) throws IOException {
        AgentQuestions questions = (endpoint, then) -> {
            idleWith(endpoint.id(), 1);
            agent.get().accept(() -> then.accept(true));
        };
        serve(
                new StandingStill(),
                new RetryBudget(0, 0),
                questions,
                new VersionTimes(NEVER_MILLIS, demandMillis, cancelMillis));
    }

    private void standStill(long millis) {
        afterDecision.set(() -> clockMillis.addAndGet(millis));
    }

    private long told(String endpoint) {
        return Long.parseLong(
                platform.endpoint(endpoint).received().getFirst().headers().get("Deadline-Ms"));
    }

    // -- tests

    @Test
    void shouldTellWhatIsLeftWhenRequestIsWritten() throws IOException {
        serve(NEVER_MILLIS, NEVER_MILLIS);
        standStill(SHORT_MILLIS);
        assertEquals(200, ask("/stream/x").status());
        assertEquals(CLIENT_MILLIS - SHORT_MILLIS, told("model-1"));
    }

    @Test
    void shouldSendToSameEndpointWhenConnectionCameTooLateAndItIsStillTheOne() throws IOException {
        serve(NEVER_MILLIS, NEVER_MILLIS);
        standStill(STANDSTILL_MILLIS);
        assertEquals(200, ask("/stream/x").status());
        assertEquals(1, received("model-1"));
        assertEquals(CLIENT_MILLIS - STANDSTILL_MILLIS, told("model-1"));
    }

    @Test
    void shouldDecideAnewWithoutRepeatWhenConnectionCameTooLate() throws IOException {
        serve(NEVER_MILLIS, NEVER_MILLIS);
        platform.add("plain-1", "plain", 0);
        platform.add("plain-2", "plain", 0);
        Await.until("the endpoints", () -> views.view().endpoints().size() == 3);
        afterDecision.set(() -> {
            clockMillis.addAndGet(STANDSTILL_MILLIS);
            fill(choice.load("plain-1").idle() ? "plain-2" : "plain-1");
        });
        // There is no budget for repeats, and what may not be repeated goes on as well, since no byte of it has left.
        assertEquals(200, ask("/once/x").status());
        List<String> filled =
                Stream.of("plain-1", "plain-2").filter(id -> received(id) == 0).toList();
        assertEquals(1, filled.size());
        assertFalse(choice.load(filled.getFirst()).idle(), "the one that was decided on first");
    }

    @Test
    void shouldSendAllTheSameWhenEveryConnectionComesTooLate() throws IOException {
        serve(NEVER_MILLIS, NEVER_MILLIS);
        platform.add("plain-1", "plain", 0);
        Await.until("the endpoints", () -> views.view().endpoints().size() == 2);
        everyDecision.set(() -> clockMillis.addAndGet(SLOW_MILLIS));
        assertEquals(200, ask("/again/x").status());
        assertEquals(1, received("plain-1"));
    }

    /** More requests than an endpoint has room for. */
    private void fill(String endpoint) {
        for (int i = 0; i < MANY_REQUESTS; i++) {
            choice.load(endpoint).began(0);
        }
    }

    @Test
    void shouldSendNothingWhenOlderVersionMayAnswerNoMore() throws IOException {
        serve(STANDSTILL_MILLIS / 2, NEVER_MILLIS);
        views.want(MODEL, 2);
        standStill(STANDSTILL_MILLIS);
        assertEquals(503, ask("/stream/x").status());
        assertEquals(0, received("model-1"));
    }

    @Test
    void shouldSendNothingWhenOlderVersionMayBeginNoMore() throws IOException {
        serve(NEVER_MILLIS, SHORT_MILLIS);
        views.want(MODEL, 2);
        standStill(SHORT_MILLIS);
        assertEquals(503, ask("/stream/x").status());
        assertEquals(0, received("model-1"));
    }

    @Test
    void shouldGoOnElsewhereWhenOlderVersionMayBeginNoMore() throws IOException {
        serve(NEVER_MILLIS, SHORT_MILLIS);
        views.want(MODEL, 2);
        afterDecision.set(() -> {
            clockMillis.addAndGet(SHORT_MILLIS);
            platform.add("model-2", "models", 2);
            Await.until("the other", () -> views.view().endpoints().containsKey("model-2"));
        });
        assertEquals(200, ask("/stream/x").status());
        assertEquals(0, received("model-1"));
        assertEquals(1, received("model-2"));
    }

    @Test
    void shouldSendNothingWhenEndpointHasLeftMeanwhile() throws IOException {
        serve(NEVER_MILLIS, NEVER_MILLIS);
        afterDecision.set(() -> {
            platform.enter("model-1", "models", 1, "draining");
            Await.until(
                    "the news that it leaves",
                    () -> views.view().endpoints().get("model-1").leaving());
        });
        assertEquals(503, ask("/stream/x").status());
        assertEquals(0, received("model-1"));
    }

    @Test
    void shouldSendNothingWhenEndpointIsListedNoMore() throws IOException {
        serve(NEVER_MILLIS, NEVER_MILLIS);
        afterDecision.set(() -> {
            platform.store().append("keyed.servers", "model-1", "");
            Await.until("the end of its entry", () -> views.view().endpoints().isEmpty());
        });
        assertEquals(503, ask("/stream/x").status());
        assertEquals(0, received("model-1"));
    }

    @Test
    void shouldSendNothingWhenTimeIsUp() throws IOException {
        serve(NEVER_MILLIS, NEVER_MILLIS);
        standStill(CLIENT_MILLIS);
        HttpAnswer refused = ask("/stream/x");
        assertEquals(503, refused.status());
        assertTrue(refused.headers().containsKey("Retry-After"));
        assertEquals(0, received("model-1"));
    }

    @Test
    void shouldSendNothingWhenClientLeftDuringStandstill() throws Exception {
        serve(NEVER_MILLIS, NEVER_MILLIS);
        try (Socket leaving = client()) {
            afterDecision.set(() -> {
                close(leaving);
                clockMillis.addAndGet(STANDSTILL_MILLIS);
            });
            awaitEndOf(leaving);
        }
        assertEquals(0, received("model-1"));
    }

    @Test
    void shouldSendNothingWhenItReadsOnlyAfterStandstillThatClientLeft() throws Exception {
        serve(NEVER_MILLIS, NEVER_MILLIS);
        try (Socket leaving = client()) {
            standStill(STANDSTILL_MILLIS);
            agent.set(then -> {
                close(leaving);
                onceNothingIsOpen(then);
            });
            awaitEndOf(leaving);
        }
        assertEquals(0, received("model-1"));
    }

    /** A client that resets its connection when it leaves, at once and not when another thread gets round to it. */
    private Socket client() throws IOException {
        InetSocketAddress at = Addresses.parse(clients());
        Socket leaving = new Socket(at.getAddress(), at.getPort());
        leaving.setSoLinger(true, 0);
        return leaving;
    }

    private void awaitEndOf(Socket leaving) throws IOException {
        leaving.getOutputStream().write(REQUEST.getBytes(StandardCharsets.US_ASCII));
        Await.until("the decision", () -> clockMillis.get() > 1_000_000);
        Await.until("the end of the request", () -> handler.connections().busy() == 0);
    }

    /** Runs a step on the thread for traffic once it has read that the client left. */
    private void onceNothingIsOpen(Runnable step) {
        boolean over = handler.connections().busy() == 0;
        Runnable next = over ? step : () -> onceNothingIsOpen(step);
        worker.getIoThread().executeAfter(next, 1, TimeUnit.MILLISECONDS);
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
