package org.micabarrow.serving;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.random.RandomGenerator;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.micabarrow.coordination.admission.RetryBudget;
import org.micabarrow.headers.HeaderFields;
import org.micabarrow.memory.HeldBytes;
import org.micabarrow.platform.EndpointHeaders;
import org.micabarrow.platform.RequestHeaders;
import org.micabarrow.platform.StoreRecords;
import org.micabarrow.platform.standin.HostedSystem;
import org.micabarrow.routing.ColdEndpoints;
import org.micabarrow.routing.EndpointSelector;
import org.micabarrow.routing.LoadReport;
import org.micabarrow.routing.PlacementFilter;
import org.micabarrow.routing.RouteManifest;
import org.micabarrow.settings.HostedSettings;
import org.micabarrow.transport.HttpClient;
import org.micabarrow.transport.HttpClient.HttpResponse;
import org.micabarrow.transport.HttpListener;
import org.micabarrow.views.ViewMaintainer;
import org.xnio.XnioWorker;

/**
 * Runs the serving part of an entry against a small platform of stand-ins. Its clock advances only when a test does so,
 * so that no report expires however long a step takes.
 */
abstract class ServingFixture {

    static final Duration TIMEOUT = Duration.ofSeconds(10);
    static final String MODEL = "model-a";
    static final long NEVER_MILLIS = 1_000_000;

    private static final Map<String, String> REGIONS = Map.of("hall-a", "region-a", "hall-b", "region-b");

    final AtomicLong clockMillis = new AtomicLong(1_000_000);
    final ViewMaintainer views = new ViewMaintainer(new StoreRecords(), clockMillis::get, REGIONS.keySet());
    final ColdEndpoints cold = new ColdEndpoints(service -> views.view()
            .manifest()
            .flatMap(manifest -> manifest.service(service))
            .map(RouteManifest.Service::coldPerSecond)
            .orElse(OptionalDouble.empty()));
    final EndpointSelector selector = new EndpointSelector(
            "region-a", PlacementFilter.of(REGIONS, () -> views.view().evacuatedHalls()), cold);

    /** What the handler holds; a test may set a small limit before it serves. */
    HeldBytes held = new HeldBytes(Runtime.getRuntime().maxMemory());

    HostedSystem platform;
    HostedSettings settings;
    XnioWorker worker;
    HttpClient client;
    ServingHandler handler;

    @BeforeEach
    final void startPlatform() throws IOException {
        views.onColdRegistration(registration ->
                cold.stated(registration.start(), registration.coldLeftMillis(), "registration", clockMillis.get()));
        platform = HostedSystem.start();
        settings = platform.entrySettings();
        worker = HttpClient.worker("serving", 1);
        client = HttpClient.start("client", 1);
    }

    @AfterEach
    final void stopPlatform() throws Exception {
        client.close();
        worker.shutdownNow();
        platform.close();
    }

    /** Reports to the entry that an endpoint is idle and holds the given weight version. */
    final void reportIdle(String endpoint, long version) {
        selector.load(endpoint).reported(new LoadReport(0, 0, false, version), 0, clockMillis.get());
    }

    /** Starts the handler, and waits until a manifest and an endpoint are known. */
    final void serve(
            EndpointProtocol protocol,
            RetryBudget budget,
            ServingHandler.AgentQueries agentQueries,
            ServingHandler.VersionTimes times)
            throws IOException {
        handler = ServingHandler.of(new ServingHandler.Dependencies(
                views::view,
                selector,
                HttpClient.onWorker(worker, 0),
                protocol,
                new RequestHeaders(RandomGenerator.of("L64X128MixRandom")),
                budget,
                new MetricRegistry(),
                clockMillis::get,
                agentQueries,
                times,
                new ManifestAge(OptionalLong::empty, 0),
                CrashTracking.disabled(),
                held));
        HttpListener.startOnWorker(clientAddress(), HttpListener.Limits.defaults(), worker, handler);
        TopicFollowers.startAndAwaitView(client, settings, TIMEOUT, views, clockMillis::get);
    }

    /** Adds a manifest and one plain endpoint. */
    final void addPlainEndpoint() {
        platform.publishManifest(2, "key-a", TIMEOUT.toMillis());
        platform.addEndpoint("plain-1", "plain", 0);
    }

    /** Starts the handler without weight versions ever being required. */
    final void serveWithoutVersions() throws IOException {
        ServingHandler.VersionTimes never = new ServingHandler.VersionTimes(NEVER_MILLIS, NEVER_MILLIS, NEVER_MILLIS);
        serve(new EndpointHeaders(), new RetryBudget(0, 1_000), (endpoint, then) -> then.accept(true), never);
    }

    /** The number of requests that an endpoint has received. */
    final int received(String endpoint) {
        return platform.endpoint(endpoint).received().size();
    }

    /** Runs an action and then the check of all requests on the traffic thread, and waits until both are done. */
    final void checkRequests(Runnable before) throws Exception {
        CompletableFuture<Void> checked = new CompletableFuture<>();
        worker.getIoThread().execute(() -> {
            before.run();
            handler.checkRequests();
            checked.complete(null);
        });
        checked.get(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** The address at which clients reach the entry. */
    final String clientAddress() {
        return settings.listen().clients().orElseThrow();
    }

    /** Sends a request and waits for the response; status 0 if there is none. */
    final HttpResponse sendRequest(String path) {
        return client.call(HostedSystem.request(clientAddress(), path, "attempt-1"), TIMEOUT)
                .toOptional()
                .orElse(new HttpResponse(0, HeaderFields.empty(), new byte[0]));
    }
}
