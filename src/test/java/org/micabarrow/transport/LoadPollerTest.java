package org.micabarrow.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.micabarrow.admission.EntryDemand;
import org.micabarrow.admission.SlotGrants;
import org.micabarrow.routing.EndpointLoad;
import org.micabarrow.routing.EndpointRegistration;
import org.micabarrow.routing.EndpointSelector;
import org.micabarrow.routing.EndpointStart;
import org.micabarrow.routing.LoadReport;
import org.micabarrow.routing.ModelProfile;
import org.micabarrow.routing.RouteManifest;
import org.micabarrow.settings.Common;
import org.micabarrow.views.View;
import org.xnio.XnioWorker;

/** Queries that a request waits for, over real sockets. */
class LoadPollerTest {

    /** Ends a test that hangs. */
    private static final long MAX_SECONDS = 30;

    /** The same for the timeout of a socket, in milliseconds. */
    private static final int HANG_MILLIS = 10_000;

    private final List<SlotGrants> granted = new CopyOnWriteArrayList<>();
    private final EndpointSelector selector = new EndpointSelector("region-a", Map.of("hall-a", "region-a"));
    private final EndpointRegistration endpoint =
            EndpointRegistration.of("a", "models", "127.0.0.1:80", "hall-a", 4, false, Map.of("m", 1L), 16);
    private final List<StoreUpdate.ReaderState> readers = new CopyOnWriteArrayList<>();
    private DatagramSocket agent;
    private XnioWorker worker;
    private LoadPoller poller;

    @BeforeEach
    void start() throws IOException {
        agent = new DatagramSocket(0, InetAddress.getLoopbackAddress());
        worker = HttpClient.worker("load-feed-test", 1);
        poller = poller(View.empty(), selector);
        poller.start(() -> {});
    }

    private LoadPoller poller(View view, EndpointSelector selector) throws IOException {
        return poller(() -> view, selector);
    }

    private LoadPoller poller(Supplier<View> view, EndpointSelector selector) throws IOException {
        return LoadPoller.open(new LoadPoller.Dependencies(
                new Common.Place("entry-a", "region-a", "hall-a"),
                "127.0.0.1:8000",
                Map.of("hall-a", "region-a"),
                agent.getLocalPort(),
                view,
                selector,
                worker.getIoThread(),
                () -> System.nanoTime() / 1_000_000,
                Optional::empty,
                readers::add,
                EntryDemand::none,
                granted::add));
    }

    @AfterEach
    void stop() {
        agent.close();
        worker.shutdownNow();
    }

    private CompletableFuture<Boolean> query() {
        CompletableFuture<Boolean> inTime = new CompletableFuture<>();
        worker.getIoThread().execute(() -> poller.query(endpoint, inTime::complete));
        return inTime;
    }

    /** A view with two endpoints at one host, which occurs for a while after a restart. */
    private View twoAtOneHost() {
        ModelProfile model = new ModelProfile("m", 16, 1, 1, 1, 1, 4, 8, 1_000);
        RouteManifest.Service service = new RouteManifest.Service("models", 100, Optional.of(model), Optional.empty());
        RouteManifest manifest =
                RouteManifest.of(new RouteManifest.Parts(1, List.of(), Map.of("models", service), Map.of(), false, 1));
        EndpointRegistration other =
                EndpointRegistration.of("b", "models", "127.0.0.1:81", "hall-a", 4, false, Map.of("m", 1L), 16);
        return new View(Optional.of(manifest), 0, Map.of("a", endpoint, "b", other), Map.of());
    }

    private DatagramPacket receiveQuery() throws IOException {
        DatagramPacket packet = new DatagramPacket(new byte[512], 512);
        agent.receive(packet);
        return packet;
    }

    private void reply(DatagramPacket query, int numberOffset) throws IOException {
        byte[] bytes = Arrays.copyOf(query.getData(), query.getLength());
        int number = LoadMessages.readQuery(bytes).number() + numberOffset;
        ByteBuffer reply = LoadMessages.write(new LoadReply(number, new LoadReport(1, 0, false, 1)));
        agent.send(new DatagramPacket(reply.array(), reply.limit(), query.getSocketAddress()));
    }

    @Test
    void shouldReportReplyWhenItNamesTheQuery() throws Exception {
        CompletableFuture<Boolean> inTime = query();
        reply(receiveQuery(), 0);
        // On a busy machine the reply may arrive after the timeout; then the next query is answered.
        for (int again = 0; again < 20 && !inTime.get(MAX_SECONDS, TimeUnit.SECONDS); again++) {
            inTime = query();
            reply(receiveQuery(), 0);
        }
        assertTrue(inTime.get(MAX_SECONDS, TimeUnit.SECONDS));
    }

    @Test
    void shouldReportMissingReplyWhenNothingArrives() throws Exception {
        CompletableFuture<Boolean> inTime = query();
        receiveQuery();
        assertFalse(inTime.get(MAX_SECONDS, TimeUnit.SECONDS));
    }

    @Test
    void shouldReportMissingReplyWhenItNamesAnotherQuery() throws Exception {
        CompletableFuture<Boolean> inTime = query();
        reply(receiveQuery(), 1);
        assertFalse(inTime.get(MAX_SECONDS, TimeUnit.SECONDS));
    }

    @Test
    void shouldSendPromptTokensOfAllEndpointsAtHostWhenOneIsQueried() throws Exception {
        EndpointSelector selectorOfTwo = new EndpointSelector("region-a", Map.of("hall-a", "region-a"));
        selectorOfTwo.load("a").requestSent(100);
        selectorOfTwo.load("b").requestSent(20);
        LoadPoller pollerOfTwo = poller(twoAtOneHost(), selectorOfTwo);
        pollerOfTwo.start(() -> pollerOfTwo.query(endpoint, inTime -> {}));
        for (int number = 0; number < 2; number++) {
            DatagramPacket packet = receiveQuery();
            LoadQuery query = LoadMessages.readQuery(Arrays.copyOf(packet.getData(), packet.getLength()));
            assertEquals(new LoadQuery("entry-a", 120, number, 0, true, Optional.empty()), query);
        }
    }

    @Test
    void shouldKeepPollingWhenUnlistedEndpointHasRequestsInFlight() throws Exception {
        agent.setSoTimeout((int) TimeUnit.SECONDS.toMillis(MAX_SECONDS));
        AtomicReference<View> view = new AtomicReference<>(twoAtOneHost());
        EndpointSelector busySelector = new EndpointSelector("region-a", Map.of("hall-a", "region-a"));
        busySelector.load("a").requestSent(100);
        poller(view::get, busySelector).start(() -> view.set(View.empty()));
        for (int number = 0; number < 3; number++) {
            DatagramPacket packet = receiveQuery();
            assertEquals(
                    number,
                    LoadMessages.readQuery(Arrays.copyOf(packet.getData(), packet.getLength()))
                            .number());
        }
    }

    @Test
    void shouldSendPromptTokensOfEndpointWhenNoRoundHasIncludedItYet() throws Exception {
        worker.getIoThread().execute(() -> {
            selector.load("a").requestSent(100);
            poller.query(endpoint, inTime -> {});
        });
        DatagramPacket packet = receiveQuery();
        assertEquals(
                100,
                LoadMessages.readQuery(Arrays.copyOf(packet.getData(), packet.getLength()))
                        .promptTokens());
    }

    @Test
    void shouldKeepPollingWhenOneRoundFails() throws Exception {
        agent.setSoTimeout(HANG_MILLIS);
        AtomicBoolean failed = new AtomicBoolean();
        Supplier<View> view = () -> {
            if (failed.compareAndSet(false, true)) {
                throw new IllegalStateException("a programming error");
            }
            return twoAtOneHost();
        };
        poller(view, selector).start(() -> {});
        receiveQuery();
        assertTrue(failed.get());
    }

    // -- endpoints that restart under the same id

    private static final EndpointStart LISTED = new EndpointStart("a", OptionalLong.of(1_764_718_674_123L));

    private void reply(DatagramPacket query, LoadReport report) throws IOException {
        byte[] bytes = Arrays.copyOf(query.getData(), query.getLength());
        ByteBuffer reply =
                LoadMessages.write(new LoadReply(LoadMessages.readQuery(bytes).number(), report));
        agent.send(new DatagramPacket(reply.array(), reply.limit(), query.getSocketAddress()));
    }

    /** Answers all queries with the same report until the listed start satisfies a condition. */
    private void replyUntil(EndpointSelector selector, LoadReport report, Predicate<EndpointLoad> condition)
            throws Exception {
        agent.setSoTimeout((int) TimeUnit.SECONDS.toMillis(MAX_SECONDS));
        boolean satisfied = false;
        while (!satisfied) {
            reply(receiveQuery(), report);
            CompletableFuture<Boolean> now = new CompletableFuture<>();
            worker.getIoThread().execute(() -> now.complete(condition.test(selector.load(LISTED))));
            satisfied = now.get(MAX_SECONDS, TimeUnit.SECONDS);
        }
    }

    @Test
    @Timeout(MAX_SECONDS)
    void shouldIgnoreReportOfAnotherStart() throws Exception {
        EndpointRegistration listed = EndpointRegistration.of(
                        "a", "models", "127.0.0.1:80", "hall-a", 4, false, Map.of(), 16)
                .withStart(LISTED.startedMillis());
        View both = twoAtOneHost();
        // The poller that all tests share lists no endpoint, which removes all endpoints from its own selector.
        EndpointSelector ownSelector = new EndpointSelector("region-a", Map.of("hall-a", "region-a"));
        poller(new View(both.manifest(), 0, Map.of("a", listed), Map.of()), ownSelector)
                .start(() -> {});
        replyUntil(ownSelector, new LoadReport(0, 0, false, 5, 1, OptionalInt.of(123_456)), EndpointLoad::restarted);
        replyUntil(ownSelector, new LoadReport(0, 0, false, 2, 1, OptionalInt.of(674_123)), load -> !load.restarted());
        CompletableFuture<Long> version = new CompletableFuture<>();
        worker.getIoThread()
                .execute(() -> version.complete(ownSelector.load(LISTED).version()));
        assertEquals(2L, version.get(MAX_SECONDS, TimeUnit.SECONDS));
    }

    @Test
    @Timeout(MAX_SECONDS)
    void shouldApplyGrantsWhenAgentDividesSlots() throws Exception {
        SlotGrants grants = new SlotGrants(List.of(new SlotGrants.ClassSlots(0, 2)), List.of());
        EndpointSelector ownSelector = new EndpointSelector("region-a", Map.of("hall-a", "region-a"));
        poller(twoAtOneHost(), ownSelector).start(() -> {});
        agent.setSoTimeout((int) TimeUnit.SECONDS.toMillis(MAX_SECONDS));
        while (granted.isEmpty()) {
            DatagramPacket query = receiveQuery();
            int number = LoadMessages.readQuery(Arrays.copyOf(query.getData(), query.getLength()))
                    .number();
            ByteBuffer reply = LoadMessages.write(new LoadReply(
                    number,
                    new LoadReport(1, 0, false, 1, 2),
                    Optional.empty(),
                    0,
                    Optional.empty(),
                    Optional.empty(),
                    Optional.of(new LoadReply.ReplyExtension(Optional.of(grants)))));
            agent.send(new DatagramPacket(reply.array(), reply.limit(), query.getSocketAddress()));
        }
        assertEquals(grants, granted.getFirst());
        CompletableFuture<List<Boolean>> allowed = new CompletableFuture<>();
        worker.getIoThread().execute(() -> {
            EndpointLoad load = ownSelector.load("a");
            long now = System.nanoTime() / 1_000_000;
            allowed.complete(List.of(load.hasAllottedSlot(0, now), load.hasAllottedSlot(1, now)));
        });
        assertEquals(List.of(true, false), allowed.get(MAX_SECONDS, TimeUnit.SECONDS));
    }
}
