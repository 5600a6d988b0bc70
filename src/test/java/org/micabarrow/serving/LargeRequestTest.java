package org.micabarrow.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.micabarrow.Await;
import org.micabarrow.headers.HeaderFields;
import org.micabarrow.platform.standin.HostedSystem;
import org.micabarrow.routing.LoadReport;
import org.micabarrow.transport.HttpCall;
import org.micabarrow.transport.HttpClient.HttpResponse;

/** Guards against large requests that are refused at once while smaller ones wait for a slot and are served. */
class LargeRequestTest extends ServingFixture {

    /** Its reading alone takes longer than the objective. */
    private static final int LARGE_PROMPT_TOKENS = 12_000;

    private static final int USUAL_PROMPT_TOKENS = 100;
    private static final int USUAL_REQUESTS = 8;
    private static final int SLOTS = 16;

    /** Shorter than what makes a report too old. */
    private static final long LONGER_THAN_A_WAIT_MILLIS = 400;

    private static final int OK = 200;
    private static final int REFUSED = 503;

    @BeforeEach
    void start() throws Exception {
        platform.publishManifest(2, "key-a", TIMEOUT.toMillis());
        platform.addEndpoint("model-1", "models", 1);
        reportIdle("model-1", 1);
        serveWithoutVersions();
        for (int i = 0; i < USUAL_REQUESTS; i++) {
            assertEquals(OK, send("served-" + i, USUAL_PROMPT_TOKENS).join().status());
        }
    }

    private CompletableFuture<HttpResponse> send(String id, int promptTokens) {
        HttpCall call = HostedSystem.request(clientAddress(), "/stream/x", id)
                .withHeader("Token-Count", promptTokens + ",20")
                .withHeader("Deadline-Ms", String.valueOf(TIMEOUT.toMillis()));
        return CompletableFuture.supplyAsync(() ->
                client.call(call, TIMEOUT).toOptional().orElse(new HttpResponse(0, HeaderFields.empty(), new byte[0])));
    }

    /** Reports how many slots are taken, on the traffic thread. */
    private void report(int requests, int allotted) throws Exception {
        checkRequests(() -> selector.load("model-1")
                .reported(new LoadReport(requests, 0, false, 1, allotted), 0, clockMillis.get()));
    }

    private void refuseSome() throws Exception {
        for (int i = 0; i < USUAL_REQUESTS; i++) {
            report(SLOTS, 0);
            CompletableFuture<HttpResponse> refused = send("refused-" + i, USUAL_PROMPT_TOKENS);
            Await.until("a waiting request", () -> waiting() == 1);
            clockMillis.addAndGet(LONGER_THAN_A_WAIT_MILLIS);
            assertEquals(
                    REFUSED,
                    refused.get(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS).status());
        }
    }

    private int waiting() {
        CompletableFuture<Integer> size = new CompletableFuture<>();
        worker.getIoThread().execute(() -> size.complete(handler.waitingRequests()));
        return size.join();
    }

    @Test
    void shouldServeLargeRequestThatWaitedWhenSlotBecomesFreeInShortage() throws Exception {
        refuseSome();
        report(SLOTS, 0);
        CompletableFuture<HttpResponse> large = send("large", LARGE_PROMPT_TOKENS);
        Await.until("the large request to wait or to end", () -> waiting() == 1 || large.isDone());
        assertFalse(
                large.isDone(),
                () -> "it ended at once: " + new String(large.join().body(), StandardCharsets.UTF_8));
        report(SLOTS - 1, 1);
        assertEquals(OK, large.get(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS).status());
    }
}
