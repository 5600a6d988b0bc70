package org.micabarrow.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.micabarrow.Await;
import org.micabarrow.platform.standin.HostedSystem;
import org.micabarrow.process.HostedEntryProcess;
import org.micabarrow.settings.HostedSettings;
import org.micabarrow.transport.HttpCaller;
import org.micabarrow.transport.HttpCaller.HttpAnswer;

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

    private HostedSystem platform;
    private HttpCaller client;

    @BeforeEach
    void start() {
        platform = HostedSystem.start();
        client = HttpCaller.start("client", 1);
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

    /** Asks until an endpoint has answered once more. */
    private void askUntilAnsweredBy(HostedSettings entry, String path, String endpoint) {
        int before = received(endpoint);
        Await.until("an answer of " + endpoint, () -> ask(entry, path) == 200 && received(endpoint) > before);
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
        platform.store().silent(true);
        platform.endpoint("plain-1").leave();
        askUntilAnsweredBy(entry, "/again/x", "plain-1");
        assertServedWithout(entry, "/again/x", "plain-1");
    }
}
