package org.micabarrow.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.micabarrow.Await;
import org.micabarrow.platform.standin.HostedEndpointStandin.Behaviour;
import org.micabarrow.routing.LoadReport;
import org.micabarrow.transport.HttpClient.HttpResponse;

/** Guards against requests that leave the regions to which their route or organisation is restricted. */
class AllowedRegionsRequestTest extends ServingFixture {

    private static final String NOWHERE = "\"region-c\"";
    private static final String ANY = "";
    private static final String A = "\"region-a\"";
    private static final String B = "\"region-b\"";

    private long manifestVersion = 10;

    /** Writes a manifest with restrictions; the lists are JSON texts, divided by commas. */
    private void manifest(String ofRoutes, String ofOrganisation) {
        String route = "{\"host\":\"h.example\",\"path_prefix\":\"/%s/\",\"kind\":\"%s\",\"timeout_ms\":10000,"
                + "\"target_latency_ms\":5000,\"service\":\"%s\",\"max_attempts\":2,\"resumable\":true,"
                + "\"allowed_regions\":[" + ofRoutes + "]}";
        manifestVersion++;
        platform.store()
                .append(
                        "keyed.op",
                        "config",
                        "{\"version\":" + manifestVersion + ",\"routes\":["
                                + String.format(Locale.ROOT, route, "once", "non_idempotent", "plain") + ","
                                + String.format(Locale.ROOT, route, "again", "idempotent", "plain") + ","
                                + String.format(Locale.ROOT, route, "stream", "streaming", "models")
                                + "],\"services\":[{\"name\":\"plain\",\"max_connections\":100},"
                                + "{\"name\":\"models\",\"max_connections\":100,\"engine\":{\"slots\":16,\"stride\":5,"
                                + "\"read_per_s\":19100.0,\"step_ms\":8.9,\"models\":[{\"name\":\"" + MODEL + "\"}]}}],"
                                + "\"tenants\":[{\"name\":\"org-a\",\"api_keys\":[\"key-a\"],\"allowed_regions\":["
                                + ofOrganisation + "]}]}");
    }

    private void awaitManifest() {
        Await.until("the manifest", () -> views.view().manifest().orElseThrow().version() == manifestVersion);
    }

    private void start(String ofRoutes, String ofOrganisation) throws IOException {
        platform.addEndpointIn("hall-a", "plain-a", "plain", 0);
        platform.addEndpointIn("hall-b", "plain-b", "plain", 0);
        platform.addEndpointIn("hall-a", "model-a", "models", 1);
        platform.addEndpointIn("hall-b", "model-b", "models", 1);
        manifest(ofRoutes, ofOrganisation);
        serveWithoutVersions();
        awaitManifest();
        Await.until(
                "the endpoints",
                () -> views.view().endpoints().values().stream()
                                .map(endpoint -> endpoint.dataHall())
                                .filter("hall-b"::equals)
                                .count()
                        == 2);
    }

    private int receivedIn(String hall) {
        return received("plain-" + hall) + received("model-" + hall);
    }

    private static String text(HttpResponse response) {
        return new String(response.body(), StandardCharsets.UTF_8);
    }

    // -- first tries

    @ParameterizedTest
    @CsvSource({
        "'\"region-b\"',               '',                           /once/x",
        "'\"region-b\"',               '',                           /again/x",
        "'\"region-b\"',               '',                           /stream/x",
        "'',                           '\"region-b\"',               /once/x",
        "'',                           '\"region-b\"',               /stream/x",
        "'\"region-a\",\"region-b\"',  '\"region-b\",\"region-c\"',  /again/x",
        "'\"region-a\",\"region-b\"',  '\"region-b\",\"region-c\"',  /stream/x",
    })
    void shouldServeOnlyInAllowedRegionWhenRestricted(String ofRoutes, String ofOrganisation, String path)
            throws IOException {
        start(ofRoutes, ofOrganisation);
        for (int request = 0; request < 20; request++) {
            assertEquals(200, sendRequest(path).status());
        }
        assertEquals(0, receivedIn("a"));
        assertEquals(20, receivedIn("b"));
    }

    @ParameterizedTest
    @CsvSource({"/once/x", "/again/x", "/stream/x"})
    void shouldRefuseAtOnceWhenNoEndpointIsInAllowedRegion(String path) throws IOException {
        start(NOWHERE, ANY);
        HttpResponse refused = sendRequest(path);
        assertEquals(503, refused.status());
        assertTrue(text(refused).contains("[region-c]"), text(refused));
        assertTrue(Double.parseDouble(refused.headers().first("Retry-After").orElseThrow()) > 0);
        assertEquals(0, receivedIn("a") + receivedIn("b"));
    }

    @Test
    void shouldRefuseWhenRouteAndOrganisationAllowDifferentRegions() throws IOException {
        start(A, B);
        assertEquals(503, sendRequest("/again/x").status());
        assertEquals(0, receivedIn("a") + receivedIn("b"));
    }

    // -- retries

    @ParameterizedTest
    @CsvSource({"FAIL, /again/x", "RESET, /again/x", "REFUSE, /once/x", "TRUNCATE, /stream/x", "RESET, /stream/x"})
    void shouldNotRetryInOtherRegionWhenRestricted(Behaviour first, String path) throws IOException {
        start(B, ANY);
        platform.enqueueBehaviour(first);
        sendRequest(path);
        assertEquals(1, receivedIn("b"));
        assertEquals(0, receivedIn("a"));
    }

    @Test
    void shouldNotMoveRequestToOtherRegionWhenEndpointIsSilent() throws Exception {
        start(B, ANY);
        platform.enqueueBehaviour(Behaviour.NEVER_ANSWER);
        selector.load("model-b").reported(new LoadReport(0, 0, false, 1), 0, clockMillis.get());
        selector.load("model-a").reported(new LoadReport(0, 0, false, 1), 0, clockMillis.get());
        CompletableFuture<HttpResponse> response = CompletableFuture.supplyAsync(() -> sendRequest("/stream/x"));
        Await.until("the request", () -> received("model-b") == 1);
        checkRequests(() -> {
            clockMillis.addAndGet(4_000);
            selector.load("model-a").reported(new LoadReport(0, 0, false, 1), 0, clockMillis.get());
        });
        checkRequests(() -> {});
        assertEquals(0, receivedIn("a"));
        checkRequests(() -> clockMillis.addAndGet(20_000));
        assertNotEquals(
                200, response.get(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS).status());
        assertEquals(0, receivedIn("a"));
    }

    // -- manifests that change

    @Test
    void shouldRefuseWaitingRequestWhenNewManifestAllowsNoEndpoint() throws Exception {
        start(A, ANY);
        reportFull("model-a");
        CompletableFuture<HttpResponse> response = CompletableFuture.supplyAsync(() -> sendRequest("/stream/x"));
        Await.until("the request", () -> handler.connections().inFlightCount() == 1);
        manifest(NOWHERE, ANY);
        awaitManifest();
        HttpResponse refused = response.get(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        assertEquals(503, refused.status());
        assertTrue(text(refused).contains("[]"), text(refused));
        reportIdle("model-a", 1);
        assertEquals(0, receivedIn("a") + receivedIn("b"));
    }

    /** The client's request was accepted with the restriction, so a later manifest does not lift it. */
    @Test
    void shouldKeepRestrictionOfWaitingRequestWhenNewManifestLiftsIt() throws Exception {
        start(A, ANY);
        reportFull("model-a");
        CompletableFuture<HttpResponse> response = CompletableFuture.supplyAsync(() -> sendRequest("/stream/x"));
        Await.until("the request", () -> handler.connections().inFlightCount() == 1);
        manifest(ANY, ANY);
        awaitManifest();
        checkRequests(() -> {});
        assertEquals(0, receivedIn("b"));
        checkRequests(() -> reportIdle("model-a", 1));
        assertEquals(
                200, response.get(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS).status());
        assertEquals(Map.of("a", 1, "b", 0), Map.of("a", receivedIn("a"), "b", receivedIn("b")));
    }

    @Test
    void shouldServeElsewhereWhenNewManifestMovesRestriction() throws IOException {
        start(A, ANY);
        assertEquals(200, sendRequest("/again/x").status());
        manifest(B, ANY);
        awaitManifest();
        assertEquals(200, sendRequest("/again/x").status());
        assertEquals(Map.of("a", 1, "b", 1), Map.of("a", receivedIn("a"), "b", receivedIn("b")));
    }

    private void reportFull(String endpoint) {
        selector.load(endpoint).reported(new LoadReport(16, 0, false, 1), 0, clockMillis.get());
    }
}
