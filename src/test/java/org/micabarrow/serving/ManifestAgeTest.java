package org.micabarrow.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicLong;
import java.util.random.RandomGenerator;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.micabarrow.coordination.admission.RetryBudget;
import org.micabarrow.headers.HeaderFields;
import org.micabarrow.memory.HeldBytes;
import org.micabarrow.platform.EndpointHeaders;
import org.micabarrow.platform.RequestHeaders;
import org.micabarrow.platform.StoreRecords;
import org.micabarrow.routing.EndpointSelector;
import org.micabarrow.standin.Ports;
import org.micabarrow.state.Fault.Step;
import org.micabarrow.transport.HttpCall;
import org.micabarrow.transport.HttpClient;
import org.micabarrow.transport.HttpClient.HttpResponse;
import org.micabarrow.transport.HttpListener;
import org.micabarrow.views.StoredRecord;
import org.micabarrow.views.Topic;
import org.micabarrow.views.VersionKeys;
import org.micabarrow.views.ViewMaintainer;
import org.xnio.XnioWorker;

/**
 * Checks which requests an entry rejects as invalid, depending on whether it can prove that its manifest is current.
 */
class ManifestAgeTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final long MAX_AGE_MILLIS = 2_000;
    private static final int BAD_REQUEST = 400;
    private static final int UNAUTHORIZED = 401;
    private static final int NOT_FOUND = 404;
    private static final int TOO_LARGE = 413;
    private static final int UNAVAILABLE = 503;

    /** The offset of the older manifest, which was written late. */
    private static final long LATE_OFFSET = 6;

    private final AtomicLong clock = new AtomicLong(1_000_000);
    private final ViewMaintainer views = new ViewMaintainer(new StoreRecords(), clock::get);
    private final String clients = Ports.freeAddress();
    private XnioWorker worker;
    private HttpClient caller;
    private HttpListener listener;

    @BeforeEach
    void start() throws IOException {
        worker = HttpClient.worker("traffic", 1);
        caller = HttpClient.start("test", 1);
        listener = HttpListener.startOnWorker(
                clients,
                HttpListener.Limits.defaults(),
                worker,
                ServingHandler.of(new ServingHandler.Dependencies(
                        views::view,
                        new EndpointSelector("region-a", Map.of()),
                        HttpClient.onWorker(worker, 0),
                        new EndpointHeaders(),
                        new RequestHeaders(RandomGenerator.of("L64X128MixRandom")),
                        new RetryBudget(0, 0),
                        new MetricRegistry(),
                        clock::get,
                        (endpoint, then) -> then.accept(true),
                        new ServingHandler.VersionTimes(TIMEOUT.toMillis(), TIMEOUT.toMillis(), TIMEOUT.toMillis()),
                        new ManifestAge(views::operatorAsOfMillis, MAX_AGE_MILLIS),
                        CrashTracking.disabled(),
                        new HeldBytes(Runtime.getRuntime().maxMemory()))));
        views.apply(Topic.OPERATOR, List.of(manifest(1, LATE_OFFSET)), LATE_OFFSET + 1);
    }

    @AfterEach
    void stop() {
        caller.close();
        listener.close();
        worker.shutdownNow();
    }

    private static StoredRecord manifest(long version, long offset) {
        String json = """
                {"version":%d,"routes":[{"name":"r","host":"h.example","path_prefix":"/once/","kind":"non_idempotent",
                "timeout_ms":2000,"target_latency_ms":500,"priority":1,"service":"plain","max_attempts":2,"public":false}],
                "services":[{"name":"plain","health_path":"/healthz","max_connections":100}],
                "limits":{"max_body_bytes":10},"tenants":[{"name":"org-a","api_keys":["key-a"]}]}""".formatted(version);
        return new StoredRecord("config", offset, json.getBytes(StandardCharsets.UTF_8));
    }

    private HttpResponse sendRequest(String path, String key, Optional<String> id, String body) {
        Map<String, String> headers = new HashMap<>(Map.of("Host", "h.example", "Key", key, "Deadline-Ms", "3000"));
        id.ifPresent(value -> headers.put("Attempt-Id", value));
        HttpCall call = new HttpCall(
                Step.READ,
                "POST",
                URI.create("http://" + clients),
                Optional.of(path),
                HeaderFields.of(headers),
                body.getBytes(StandardCharsets.UTF_8));
        return caller.call(call, TIMEOUT).toOptional().orElseThrow();
    }

    private HttpResponse sendRequest(String path, String key) {
        return sendRequest(path, key, Optional.of("id-1"), "a body");
    }

    private HttpResponse sendLargeBody() {
        return sendRequest("/once/x", "key-a", Optional.of("id-1"), "a body of 20 bytes..");
    }

    /** Sends requests with an unknown key, an unknown path, and a body over the manifest's limit. */
    private void assertRejected() {
        assertEquals(UNAUTHORIZED, sendRequest("/once/x", "key-b").status());
        assertEquals(NOT_FOUND, sendRequest("/new/x", "key-a").status());
        assertEquals(TOO_LARGE, sendLargeBody().status());
    }

    private void assertToldToRetry() {
        for (HttpResponse response :
                List.of(sendRequest("/once/x", "key-b"), sendRequest("/new/x", "key-a"), sendLargeBody())) {
            assertEquals(UNAVAILABLE, response.status());
            assertEquals("0.300", response.headers().first("Retry-After").orElseThrow());
            String reason = new String(response.body(), StandardCharsets.UTF_8);
            assertEquals("this entry may not know the newest manifest", reason.substring(0, reason.indexOf(';')));
        }
    }

    private long ago(long millis) {
        return clock.get() - millis;
    }

    // -- the store

    @ParameterizedTest
    @CsvSource({"0", "1", "1999", "2000"})
    void shouldRejectWhenAllChangesAreKnownWithinLimit(long millis) {
        views.confirmOperator(views.end(Topic.OPERATOR), ago(millis));
        assertRejected();
    }

    @ParameterizedTest
    @CsvSource({"2001", "60000"})
    void shouldTellClientToRetryWhenStoreIsUnresponsiveForLonger(long millis) {
        views.confirmOperator(views.end(Topic.OPERATOR), ago(0));
        clock.addAndGet(millis);
        assertToldToRetry();
    }

    @Test
    void shouldRejectAgainWhenStoreIsBack() {
        views.confirmOperator(views.end(Topic.OPERATOR), ago(60_000));
        assertToldToRetry();
        views.confirmOperator(views.end(Topic.OPERATOR), ago(10));
        assertRejected();
    }

    // -- peers

    @Test
    void shouldNotRejectWhenPeerReportIsOld() {
        views.confirmOperator(views.end(Topic.OPERATOR), ago(2_500));
        clock.addAndGet(100);
        views.confirmOperator(views.end(Topic.OPERATOR), ago(2_200));
        assertToldToRetry();
    }

    @Test
    void shouldRejectWhenRecentPeerReportIsFollowedByOlderOne() {
        views.confirmOperator(views.end(Topic.OPERATOR), ago(1_200));
        views.confirmOperator(views.end(Topic.OPERATOR), ago(9_000));
        assertRejected();
    }

    /**
     * An entry that has just started from a peer has a manifest before it knows its age, if the peer does not state it.
     */
    @Test
    void shouldTellClientToRetryWhenAgeWasNeverKnown() {
        assertToldToRetry();
        assertEquals(OptionalLong.empty(), views.operatorAsOfMillis());
    }

    // -- a missing manifest

    @Test
    void shouldTellClientToRetryWhileManifestIsMissing() {
        views.confirmOperator(views.end(Topic.OPERATOR), ago(0));
        views.apply(
                Topic.NAMED,
                List.of(new StoredRecord(
                        VersionKeys.ofManifest(2), 0, "{\"version\":2,\"offset\":5}".getBytes(StandardCharsets.UTF_8))),
                1);
        assertToldToRetry();
        views.apply(Topic.OPERATOR, List.of(manifest(2, 5)), 0);
        assertRejected();
    }

    // -- requests that do not depend on the age

    @Test
    void shouldRejectMalformedRequestAtAnyAge() {
        assertEquals(
                BAD_REQUEST,
                sendRequest("/once/x", "key-a", Optional.empty(), "a body").status());
    }

    /** There is no endpoint here; the response shows that the request was accepted. */
    @Test
    void shouldAcceptAllowedRequestAtAnyAge() {
        HttpResponse response = sendRequest("/once/x", "key-a");
        assertEquals(UNAVAILABLE, response.status());
        assertEquals("no endpoint can serve\n", new String(response.body(), StandardCharsets.UTF_8));
    }
}
