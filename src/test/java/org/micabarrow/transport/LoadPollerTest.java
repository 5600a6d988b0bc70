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
import org.micabarrow.routing.EndpointSelector;
import org.micabarrow.routing.EndpointRegistration;
import org.micabarrow.routing.EndpointLoad;
import org.micabarrow.routing.EndpointStart;
import org.micabarrow.routing.LoadReport;
import org.micabarrow.routing.ModelProfile;
import org.micabarrow.routing.RouteManifest;
import org.micabarrow.settings.Common;
import org.micabarrow.views.View;
import org.xnio.XnioWorker;

/** Questions on which a request waits, over real sockets. */
class LoadPollerTest {

    /** Decides nothing but a hang. */
    private static final long LONGEST_SECONDS = 30;

    /** As above, for what a socket waits, in milliseconds. */
    private static final int HANG_MILLIS = 10_000;

    private final EndpointSelector choice = new EndpointSelector("region-a", Map.of("hall-a", "region-a"));
    private final EndpointRegistration endpoint =
            EndpointRegistration.of("a", "models", "127.0.0.1:80", "hall-a", 4, false, Map.of("m", 1L), 16);
    private final List<StoreUpdate.Heard> heard = new CopyOnWriteArrayList<>();
    private DatagramSocket agent;
    private XnioWorker worker;
    private LoadPoller feed;

    @BeforeEach
    void start() throws IOException {
        agent = new DatagramSocket(0, InetAddress.getLoopbackAddress());
        worker = HttpClient.worker("load-feed-test", 1);
        feed = feed(View.empty(), choice);
        feed.start(() -> {});
    }

    private LoadPoller feed(View view, EndpointSelector choice) throws IOException {
        return feed(() -> view, choice);
    }

    private LoadPoller feed(Supplier<View> view, EndpointSelector choice) throws IOException {
        return LoadPoller.open(new LoadPoller.Parts(
                new Common.Place("entry-a", "region-a", "hall-a"),
                "127.0.0.1:8000",
                Map.of("hall-a", "region-a"),
                agent.getLocalPort(),
                view,
                choice,
                worker.getIoThread(),
                () -> System.nanoTime() / 1_000_000,
                Optional::empty,
                heard::add));
    }

    @AfterEach
    void stop() {
        agent.close();
        worker.shutdownNow();
    }

    private CompletableFuture<Boolean> ask() {
        CompletableFuture<Boolean> inTime = new CompletableFuture<>();
        worker.getIoThread().execute(() -> feed.ask(endpoint, inTime::complete));
        return inTime;
    }

    /** A view of two endpoints at one host, as there are for a while after a restart. */
    private View twoAtOneHost() {
        ModelProfile model = new ModelProfile("m", 16, 1, 1, 1, 1, 4, 8, 1_000);
        RouteManifest.Service service = new RouteManifest.Service("models", 100, Optional.of(model), Optional.empty());
        RouteManifest manifest =
                RouteManifest.of(new RouteManifest.Parts(1, List.of(), Map.of("models", service), Map.of(), false, 1));
        EndpointRegistration other = EndpointRegistration.of("b", "models", "127.0.0.1:81", "hall-a", 4, false, Map.of("m", 1L), 16);
        return new View(Optional.of(manifest), 0, Map.of("a", endpoint, "b", other), Map.of());
    }

    private DatagramPacket question() throws IOException {
        DatagramPacket packet = new DatagramPacket(new byte[512], 512);
        agent.receive(packet);
        return packet;
    }

    private void answer(DatagramPacket question, int numberOff) throws IOException {
        byte[] bytes = Arrays.copyOf(question.getData(), question.getLength());
        int number = LoadMessages.question(bytes).number() + numberOff;
        ByteBuffer answer = LoadMessages.write(new LoadMessages.Answer(number, new LoadReport(1, 0, false, 1)));
        agent.send(new DatagramPacket(answer.array(), answer.limit(), question.getSocketAddress()));
    }

    @Test
    void shouldSayThatAgentAnsweredWhenItsAnswerNamesTheQuestion() throws Exception {
        CompletableFuture<Boolean> inTime = ask();
        answer(question(), 0);
        // On a busy machine the answer may come after the limit; then the next question is answered.
        for (int again = 0; again < 20 && !inTime.get(LONGEST_SECONDS, TimeUnit.SECONDS); again++) {
            inTime = ask();
            answer(question(), 0);
        }
        assertTrue(inTime.get(LONGEST_SECONDS, TimeUnit.SECONDS));
    }

    @Test
    void shouldSayThatAgentDidNotAnswerWhenNothingComes() throws Exception {
        CompletableFuture<Boolean> inTime = ask();
        question();
        assertFalse(inTime.get(LONGEST_SECONDS, TimeUnit.SECONDS));
    }

    @Test
    void shouldSayThatAgentDidNotAnswerWhenAnotherQuestionIsAnswered() throws Exception {
        CompletableFuture<Boolean> inTime = ask();
        answer(question(), 1);
        assertFalse(inTime.get(LONGEST_SECONDS, TimeUnit.SECONDS));
    }

    @Test
    void shouldTellPromptTokensOfAllEndpointsAtHostWhenOneIsAskedFor() throws Exception {
        EndpointSelector ofTwo = new EndpointSelector("region-a", Map.of("hall-a", "region-a"));
        ofTwo.load("a").began(100);
        ofTwo.load("b").began(20);
        LoadPoller withTwo = feed(twoAtOneHost(), ofTwo);
        withTwo.start(() -> withTwo.ask(endpoint, inTime -> {}));
        for (int number = 0; number < 2; number++) {
            DatagramPacket packet = question();
            LoadMessages.Question question = LoadMessages.question(Arrays.copyOf(packet.getData(), packet.getLength()));
            assertEquals(new LoadMessages.Question("entry-a", 120, number, 0, true, Optional.empty()), question);
        }
    }

    @Test
    void shouldGoOnAskingWhenEndpointIsListedNoMoreButRequestsWaitThere() throws Exception {
        agent.setSoTimeout((int) TimeUnit.SECONDS.toMillis(LONGEST_SECONDS));
        AtomicReference<View> view = new AtomicReference<>(twoAtOneHost());
        EndpointSelector waiting = new EndpointSelector("region-a", Map.of("hall-a", "region-a"));
        waiting.load("a").began(100);
        feed(view::get, waiting).start(() -> view.set(View.empty()));
        for (int number = 0; number < 3; number++) {
            DatagramPacket packet = question();
            assertEquals(
                    number,
                    LoadMessages.question(Arrays.copyOf(packet.getData(), packet.getLength()))
                            .number());
        }
    }

    @Test
    void shouldTellPromptTokensOfEndpointWhenNoRoundHasSeenItYet() throws Exception {
        worker.getIoThread().execute(() -> {
            choice.load("a").began(100);
            feed.ask(endpoint, inTime -> {});
        });
        DatagramPacket packet = question();
        assertEquals(
                100,
                LoadMessages.question(Arrays.copyOf(packet.getData(), packet.getLength()))
                        .promptTokens());
    }

    @Test
    void shouldAskOnWhenOneRoundFails() throws Exception {
        agent.setSoTimeout(HANG_MILLIS);
        AtomicBoolean failed = new AtomicBoolean();
        Supplier<View> view = () -> {
            if (failed.compareAndSet(false, true)) {
                throw new IllegalStateException("a fault of the program");
            }
            return twoAtOneHost();
        };
        feed(view, choice).start(() -> {});
        question();
        assertTrue(failed.get());
    }

    // -- endpoints that start again under their id

    private static final EndpointStart LISTED = new EndpointStart("a", OptionalLong.of(1_764_718_674_123L));

    private void answer(DatagramPacket question, LoadReport told) throws IOException {
        byte[] bytes = Arrays.copyOf(question.getData(), question.getLength());
        ByteBuffer answer = LoadMessages.write(
                new LoadMessages.Answer(LoadMessages.question(bytes).number(), told));
        agent.send(new DatagramPacket(answer.array(), answer.limit(), question.getSocketAddress()));
    }

    /** Answers one question after the other with the same until a belief about the listed start is held. */
    private void answerUntil(EndpointSelector choice, LoadReport told, Predicate<EndpointLoad> belief) throws Exception {
        agent.setSoTimeout((int) TimeUnit.SECONDS.toMillis(LONGEST_SECONDS));
        boolean held = false;
        while (!held) {
            answer(question(), told);
            CompletableFuture<Boolean> now = new CompletableFuture<>();
            worker.getIoThread().execute(() -> now.complete(belief.test(choice.load(LISTED))));
            held = now.get(LONGEST_SECONDS, TimeUnit.SECONDS);
        }
    }

    @Test
    @Timeout(LONGEST_SECONDS)
    void shouldCountNothingThatAgentTellsOfAnotherStart() throws Exception {
        EndpointRegistration listed = EndpointRegistration.of("a", "models", "127.0.0.1:80", "hall-a", 4, false, Map.of(), 16)
                .withStart(LISTED.startedMillis());
        View both = twoAtOneHost();
        // The feed of all tests, which lists no endpoint, makes its own choice forget them.
        EndpointSelector own = new EndpointSelector("region-a", Map.of("hall-a", "region-a"));
        feed(new View(both.manifest(), 0, Map.of("a", listed), Map.of()), own).start(() -> {});
        answerUntil(own, new LoadReport(0, 0, false, 5, 1, OptionalInt.of(123_456)), EndpointLoad::startedAgain);
        answerUntil(own, new LoadReport(0, 0, false, 2, 1, OptionalInt.of(674_123)), load -> !load.startedAgain());
        CompletableFuture<Long> version = new CompletableFuture<>();
        worker.getIoThread().execute(() -> version.complete(own.load(LISTED).version()));
        assertEquals(2L, version.get(LONGEST_SECONDS, TimeUnit.SECONDS));
    }
}
