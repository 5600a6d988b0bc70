package org.micabarrow.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.micabarrow.Await;
import org.micabarrow.platform.standin.HostedEndpointStandin.Behaviour;
import org.micabarrow.platform.standin.HostedEndpointStandin.Ending;
import org.micabarrow.platform.standin.HostedSystem;
import org.micabarrow.process.HostedAgentProcess;
import org.micabarrow.process.HostedEntryProcess;
import org.micabarrow.settings.HostedSettings;
import org.micabarrow.transport.HttpClient;
import org.micabarrow.transport.HttpClient.HttpAnswer;

/**
 * An endpoint that says in its answers that it leaves.
 *
 * <p>Users saw requests reach an endpoint 2.1 and 3.3 s after it had told so. The store had gone away half a second before the endpoint
 * said in its entry that it leaves, and took that entry twelve seconds later. In between the endpoint said so in each of its answers,
 * which the entry passed on to clients while it went on sending to the endpoint. Cause: who leaves was learned from the store alone; of
 * the head of an answer only what decides about that one request was read. Evidence: the entry's lines of that day, in which the endpoint
 * has {@code leaving=false} until the store is back, and gets requests all the while.
 */
class LeavingAnswerTest {

    private static final Duration WITHIN = Duration.ofSeconds(10);
    private static final long FIRST_START = 1_764_718_000_000L;

    private HostedSystem platform;
    private HttpClient client;

    @BeforeEach
    void start() {
        platform = HostedSystem.start();
        client = HttpClient.start("client", 1);
    }

    @AfterEach
    void stop() throws Exception {
        client.close();
        platform.close();
    }

    private HostedEntryProcess begin(HostedSettings settings, int endpoints) throws IOException {
        HostedEntryProcess entry = HostedEntryProcess.start(settings);
        Await.until("the endpoints", () -> entry.takesRequests() && entry.endpoints() == endpoints);
        return entry;
    }

    private int ask(HostedSettings entry, String path) {
        String clients = entry.listen().clients().orElseThrow();
        return client.call(HostedSystem.request(clients, path, "attempt-1"), WITHIN)
                .toOptional()
                .orElse(new HttpAnswer(0, Map.of(), new byte[0]))
                .status();
    }

    private int received(String endpoint) {
        return platform.endpoint(endpoint).received().size();
    }

    /** The endpoint to which an entry at rest sends: always the same of some that are alike. */
    private String chosen(HostedSettings entry, String path, String... endpoints) {
        Map<String, Integer> before = new HashMap<>();
        Stream.of(endpoints).forEach(endpoint -> before.put(endpoint, received(endpoint)));
        Await.until("an answer", () -> ask(entry, path) == 200);
        return Stream.of(endpoints)
                .filter(endpoint -> received(endpoint) > before.get(endpoint))
                .findFirst()
                .orElseThrow();
    }

    /** Has an endpoint say that it leaves, and answer once more. */
    private void leave(HostedSettings entry, String path, String endpoint) {
        platform.endpoint(endpoint).leave();
        assertEquals(endpoint, chosen(entry, path, endpoint));
    }

    private void assertServedWithout(HostedSettings entry, String path, String endpoint) {
        int before = received(endpoint);
        for (int request = 0; request < 20; request++) {
            assertEquals(200, ask(entry, path));
        }
        assertEquals(before, received(endpoint), "requests that reached the endpoint that leaves");
    }

    @Test
    void shouldSendNothingMoreWhenAnswerSaysThatEndpointLeaves() throws Exception {
        platform.add("plain-1", "plain", 0);
        platform.add("plain-2", "plain", 0);
        HostedSettings entry = platform.entry();
        begin(entry, 2);
        String leaver = chosen(entry, "/again/x", "plain-1", "plain-2");
        platform.store().silent(true);
        leave(entry, "/again/x", leaver);
        assertServedWithout(entry, "/again/x", leaver);
    }

    @Test
    void shouldSendNothingMoreWhenRefusalSaysThatEndpointLeaves() throws Exception {
        platform.add("plain-1", "plain", 0);
        HostedSettings entry = platform.entry();
        begin(entry, 1);
        platform.endpoint("plain-1").leave();
        platform.next(Behaviour.REFUSE);
        assertEquals(503, ask(entry, "/once/x"));
        int before = received("plain-1");
        assertEquals(503, ask(entry, "/once/x"));
        assertEquals(before, received("plain-1"));
    }

    @Test
    void shouldNotComeBackWhenEarlierEntryIsReadAfterAnswer() throws Exception {
        platform.add("plain-1", "plain", 0);
        platform.add("plain-2", "plain", 0);
        HostedSettings settings = platform.entry();
        HostedEntryProcess entry = begin(settings, 2);
        String leaver = chosen(settings, "/again/x", "plain-1", "plain-2");
        leave(settings, "/again/x", leaver);
        platform.store().append("keyed.servers", leaver, "");
        Await.until("the drop", () -> entry.endpoints() == 1);
        platform.enter(leaver, "plain", 0, "ready");
        Await.until("the late entry", () -> entry.endpoints() == 2);
        assertServedWithout(settings, "/again/x", leaver);
    }

    @Test
    void shouldSendAgainWhenEndpointIsBornAnew() throws Exception {
        platform.add("plain-1", "plain", 0);
        platform.startedAt("plain-1", FIRST_START);
        platform.enter("plain-1", "plain", 0, "ready");
        HostedSettings settings = platform.entry();
        begin(settings, 1);
        leave(settings, "/again/x", "plain-1");
        assertEquals(503, ask(settings, "/again/x"));
        platform.startAgain("plain-1", FIRST_START + 5_000, Ending.CRASH);
        platform.enter("plain-1", "plain", 0, "ready");
        Await.until("an answer by the new start", () -> ask(settings, "/again/x") == 200);
    }

    /** An entry that has no answer of the endpoint itself, be it that others have sent there. */
    @Test
    void shouldSendNothingMoreWhenAgentHearsThatEndpointLeaves() throws Exception {
        platform.add("model-1", "models", 1);
        platform.add("model-2", "models", 1);
        HostedSettings beside = platform.agent("model-1");
        HostedAgentProcess.start(beside);
        HostedSettings settings = platform.entryAsking(beside);
        begin(settings, 2);
        platform.store().silent(true);
        platform.endpoint("model-1").leaveByReportsOnly();
        Await.until("the agent's news", () -> {
            int before = received("model-1");
            for (int request = 0; request < 10; request++) {
                ask(settings, "/stream/x");
            }
            return received("model-1") == before;
        });
    }

    @Test
    void shouldSendToEndpointWithAgentWhenItStays() throws Exception {
        platform.add("model-1", "models", 1);
        HostedSettings beside = platform.agent("model-1");
        HostedAgentProcess.start(beside);
        HostedSettings settings = platform.entryAsking(beside);
        begin(settings, 1);
        Await.until("an answer", () -> ask(settings, "/stream/x") == 200);
        platform.endpoint("model-1").leaveByReportsOnly();
        Await.until("a refusal", () -> ask(settings, "/stream/x") == 503);
    }
}
