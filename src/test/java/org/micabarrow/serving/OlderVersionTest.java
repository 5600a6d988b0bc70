package org.micabarrow.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.micabarrow.Await;
import org.micabarrow.coordination.admission.RetryBudget;
import org.micabarrow.platform.EndpointHeaders;
import org.micabarrow.platform.standin.HostedEndpointStandin.Behaviour;
import org.micabarrow.serving.ServingHandler.AgentQuestions;
import org.micabarrow.serving.ServingHandler.VersionTimes;
import org.micabarrow.transport.HttpClient.HttpAnswer;

/** What is sent to an endpoint that still holds an older weight version than was named. */
class OlderVersionTest extends ServingFixture {

    /** The route's time-out of a test that waits for it. */
    private static final long TIMEOUT_MILLIS = 500;

    /** So few that an endpoint has room for more, and so many that another is chosen first. */
    private static final int FEW_REQUESTS = 2;

    private final AtomicBoolean agentAnswers = new AtomicBoolean(true);
    private final AtomicBoolean agentTells = new AtomicBoolean(true);
    private final AtomicInteger questions = new AtomicInteger();

    @BeforeEach
    void start() {
        platform.add("model-1", "models", 1);
        idleWith("model-1", 1);
    }

    /** Starts to serve; agents are asked, and requests that are not begun cancelled, some time after the naming. */
    private void serve(long askMillis, long cancelMillis) throws IOException {
        AgentQuestions asked = (endpoint, then) -> {
            questions.incrementAndGet();
            if (agentTells.get()) {
                then.accept(agentAnswers.get());
            }
        };
        serve(
                new EndpointHeaders(),
                new RetryBudget(0.2, 10),
                asked,
                new VersionTimes(askMillis, NEVER_MILLIS, cancelMillis));
    }

    private HttpAnswer ask() {
        return ask("/stream/x");
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
        idleWith("model-2", 2);
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
