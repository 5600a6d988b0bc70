package org.micabarrow.serving;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.random.RandomGenerator;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.micabarrow.coordination.admission.RetryBudget;
import org.micabarrow.platform.EndpointHeaders;
import org.micabarrow.platform.RequestHeaders;
import org.micabarrow.platform.StoreRecords;
import org.micabarrow.platform.standin.HostedSystem;
import org.micabarrow.routing.EndpointSelector;
import org.micabarrow.routing.LoadReport;
import org.micabarrow.settings.HostedSettings;
import org.micabarrow.transport.HttpClient;
import org.micabarrow.transport.HttpClient.HttpResponse;
import org.micabarrow.transport.HttpListener;
import org.micabarrow.views.ViewMaintainer;
import org.xnio.XnioWorker;

/**
 * The serving part of an entry over the platform in small. Its clock moves only when a test moves it, so that nothing that was
 * told grows old however long a step takes.
 */
abstract class ServingFixture {

    static final Duration WITHIN = Duration.ofSeconds(10);
    static final String MODEL = "model-a";
    static final long NEVER_MILLIS = 1_000_000;

    final AtomicLong clockMillis = new AtomicLong(1_000_000);
    final EndpointSelector choice = new EndpointSelector("region-a", Map.of("hall-a", "region-a"));
    final ViewMaintainer views = new ViewMaintainer(new StoreRecords(), clockMillis::get);

    HostedSystem platform;
    HostedSettings settings;
    XnioWorker worker;
    HttpClient client;
    ServingHandler handler;

    @BeforeEach
    final void startPlatform() throws IOException {
        platform = HostedSystem.start();
        settings = platform.entry();
        worker = HttpClient.worker("serving", 1);
        client = HttpClient.start("client", 1);
    }

    @AfterEach
    final void stopPlatform() throws Exception {
        client.close();
        worker.shutdownNow();
        platform.close();
    }

    /** The agent beside an endpoint tells that this is idle and which weight version it holds. */
    final void idleWith(String endpoint, long version) {
        choice.load(endpoint).reported(new LoadReport(0, 0, false, version), 0, clockMillis.get());
    }

    /** Starts to serve, and waits until a manifest and an endpoint are known. */
    final void serve(
            EndpointProtocol protocol,
            RetryBudget budget,
            ServingHandler.AgentQuestions questions,
            ServingHandler.VersionTimes times)
            throws IOException {
        handler = ServingHandler.of(new ServingHandler.Parts(
                views::view,
                choice,
                HttpClient.onWorker(worker, 0),
                protocol,
                new RequestHeaders(RandomGenerator.of("L64X128MixRandom")),
                budget,
                new MetricRegistry(),
                clockMillis::get,
                questions,
                times,
                new ManifestAge(OptionalLong::empty, 0),
                CrashTracking.unnoticed()));
        HttpListener.startOnWorker(clients(), HttpListener.Limits.defaults(), worker, handler);
        FollowedStore.follow(client, settings, WITHIN, views);
    }

    /** A manifest, and one plain endpoint. */
    final void onePlainEndpoint() {
        platform.manifest(2, "key-a", WITHIN.toMillis());
        platform.add("plain-1", "plain", 0);
    }

    /** Serves where no weight version is ever named. */
    final void serveWithoutVersions() throws IOException {
        ServingHandler.VersionTimes never = new ServingHandler.VersionTimes(NEVER_MILLIS, NEVER_MILLIS, NEVER_MILLIS);
        serve(new EndpointHeaders(), new RetryBudget(0, 1_000), (endpoint, then) -> then.accept(true), never);
    }

    /** How many requests have reached an endpoint. */
    final int received(String endpoint) {
        return platform.endpoint(endpoint).received().size();
    }

    /** Takes a step on the thread for traffic, has the entry look after its requests there, and waits until both are done. */
    final void lookAfterRequests(Runnable before) throws Exception {
        CompletableFuture<Void> looked = new CompletableFuture<>();
        worker.getIoThread().execute(() -> {
            before.run();
            handler.lookAfterRequests();
            looked.complete(null);
        });
        looked.get(WITHIN.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** Where clients reach the entry. */
    final String clients() {
        return settings.listen().clients().orElseThrow();
    }

    /** Sends a request and waits for its answer; status 0 if there is none. */
    final HttpResponse ask(String path) {
        return client.call(HostedSystem.request(clients(), path, "attempt-1"), WITHIN)
                .toOptional()
                .orElse(new HttpResponse(0, Map.of(), new byte[0]));
    }
}
