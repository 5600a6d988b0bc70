package org.micabarrow.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.random.RandomGenerator;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.micabarrow.Await;
import org.micabarrow.coordination.admission.RetryBudget;
import org.micabarrow.platform.EndpointHeaders;
import org.micabarrow.platform.RequestHeaders;
import org.micabarrow.platform.StoreRecords;
import org.micabarrow.platform.standin.HostedEndpointStandin.Behaviour;
import org.micabarrow.platform.standin.HostedSystem;
import org.micabarrow.routing.EndpointChoice;
import org.micabarrow.routing.LoadReport;
import org.micabarrow.settings.HostedSettings;
import org.micabarrow.transport.HttpCaller;
import org.micabarrow.transport.HttpCaller.HttpAnswer;
import org.micabarrow.transport.HttpListener;
import org.micabarrow.views.ViewKeeper;
import org.xnio.XnioWorker;

/** What is sent to an endpoint that still holds an older weight version than was named. */
class OlderVersionTest {

    private static final Duration WITHIN = Duration.ofSeconds(10);
    private static final String MODEL = "model-a";
    private static final long NEVER_MILLIS = 1_000_000;

    /** The route's time-out of a test that waits for it. */
    private static final long TIMEOUT_MILLIS = 500;

    /** So few that an endpoint has room for more, and so many that another is chosen first. */
    private static final int FEW_REQUESTS = 2;

    private final AtomicBoolean agentAnswers = new AtomicBoolean(true);
    private final AtomicBoolean agentTells = new AtomicBoolean(true);
    private final AtomicInteger questions = new AtomicInteger();
    private final EndpointChoice choice = new EndpointChoice("region-a", Map.of("hall-a", "region-a"));
    private final ViewKeeper views = new ViewKeeper(new StoreRecords(), OlderVersionTest::steadyMillis);

    private HostedSystem platform;
    private HostedSettings settings;
    private XnioWorker worker;
    private HttpCaller client;

    /** The clock stands still, so that nothing that was told grows old however long a step takes. */
    private static long steadyMillis() {
        return 1_000_000;
    }

    @BeforeEach
    void start() throws IOException {
        platform = HostedSystem.start();
        settings = platform.entry();
        worker = HttpCaller.worker("older-version", 1);
        client = HttpCaller.start("client", 1);
        platform.add("model-1", "models", 1);
        choice.load("model-1").told(new LoadReport(0, 0, false, 1), 0, steadyMillis());
    }

    @AfterEach
    void stop() throws Exception {
        client.close();
        worker.shutdownNow();
        platform.close();
    }

    /** Starts to serve; agents are asked, and requests that are not begun cancelled, some time after the naming. */
    private void serve(long askMillis, long cancelMillis) throws IOException {
        String clients = settings.listen().clients().orElseThrow();
        HttpListener.on(clients, HttpListener.Bounds.usual(), worker, handler(askMillis, cancelMillis));
        FollowedStore.follow(client, settings, WITHIN, views);
    }

    private ServingHandler handler(long askMillis, long cancelMillis) {
        return ServingHandler.of(new ServingHandler.Parts(
                views::view,
                choice,
                HttpCaller.on(worker, 0),
                new EndpointHeaders(),
                new RequestHeaders(RandomGenerator.of("L64X128MixRandom")),
                new RetryBudget(0.2, 10),
                new MetricRegistry(),
                OlderVersionTest::steadyMillis,
                (endpoint, then) -> {
                    questions.incrementAndGet();
                    if (agentTells.get()) {
                        then.accept(agentAnswers.get());
                    }
                },
                new ServingHandler.VersionTimes(askMillis, NEVER_MILLIS, cancelMillis),
                new ManifestAge(OptionalLong::empty, 0)));
    }

    private HttpAnswer ask() {
        String clients = settings.listen().clients().orElseThrow();
        return client.call(HostedSystem.request(clients, "/stream/x", "attempt-1"), WITHIN)
                .toOptional()
                .orElse(new HttpAnswer(0, Map.of(), new byte[0]));
    }

    @Test
    void shouldAskNobodyWhenNoNewerVersionIsNamed() throws IOException {
        serve(0, NEVER_MILLIS);
        assertEquals(200, ask().status());
        assertEquals(0, questions.get());
    }

    @Test
    void shouldAskNobodyWhenNamingIsTooFreshToMatter() throws IOException {
        serve(1, NEVER_MILLIS);
        views.want(MODEL, 2);
        agentAnswers.set(false);
        assertEquals(200, ask().status());
        assertEquals(0, questions.get());
    }

    @Test
    void shouldSendWhenAgentAnswers() throws IOException {
        serve(0, NEVER_MILLIS);
        views.want(MODEL, 2);
        assertEquals(200, ask().status());
        assertEquals(1, questions.get());
    }

    @Test
    void shouldSendNothingWhenAgentDoesNotAnswer() throws IOException {
        serve(0, NEVER_MILLIS);
        views.want(MODEL, 2);
        agentAnswers.set(false);
        HttpAnswer refused = ask();
        assertEquals(503, refused.status());
        assertTrue(refused.headers().containsKey("Retry-After"));
        assertEquals(0, platform.endpoint("model-1").received().size());
    }

    @Test
    void shouldCancelWhatIsNotBegunWhenTimeIsUpAndGoOnElsewhere() throws Exception {
        platform.manifest(2, "key-a", WITHIN.toMillis());
        serve(0, 400);
        views.want(MODEL, 2);
        platform.next(Behaviour.HANG);
        CompletableFuture<HttpAnswer> answer = CompletableFuture.supplyAsync(this::ask);
        Await.until("the sending", () -> platform.endpoint("model-1").hanging() == 1);
        platform.add("model-2", "models", 2);
        assertEquals(200, answer.join().status());
        Await.until("the end of the first", () -> platform.endpoint("model-1").hanging() == 0);
    }

    @Test
    void shouldSayNotRunWhenTimeIsUpAndEverySendingWasRefused() throws Exception {
        platform.manifest(2, "key-a", TIMEOUT_MILLIS);
        platform.add("model-2", "models", 2);
        serve(0, NEVER_MILLIS);
        Await.until("both", () -> views.view().endpoints().size() == 2);
        choice.load("model-2").told(new LoadReport(0, 0, false, 2), 0, steadyMillis());
        views.want(MODEL, 2);
        // The endpoint with the newest version refuses, and the question that the other is asked about is never
        // settled.
        agentTells.set(false);
        for (int i = 0; i < FEW_REQUESTS; i++) {
            choice.load("model-1").began(0);
        }
        platform.next(Behaviour.REFUSE);
        assertEquals(503, ask().status());
        assertEquals(1, platform.endpoint("model-2").received().size());
        assertEquals(1, questions.get());
    }
}
