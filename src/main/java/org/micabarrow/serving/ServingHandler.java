package org.micabarrow.serving;

import com.codahale.metrics.MetricRegistry;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.io.IOException;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.micabarrow.admission.EntryDemand;
import org.micabarrow.admission.SlotGrants;
import org.micabarrow.attempts.ClientRequest;
import org.micabarrow.coordination.admission.RetryBudget;
import org.micabarrow.memory.HeldBytes;
import org.micabarrow.routing.EndpointRegistration;
import org.micabarrow.routing.EndpointSelector;
import org.micabarrow.routing.RouteManifest;
import org.micabarrow.transport.DisconnectDetector;
import org.micabarrow.transport.HttpClient;
import org.micabarrow.transport.RequestBody;
import org.micabarrow.views.View;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Receives client requests and forwards each to an endpoint. */
public final class ServingHandler implements HttpHandler {

    private static final Logger LOG = LoggerFactory.getLogger("org.micabarrow.request");

    private static final int BAD_REQUEST = 400;
    private static final int UNAUTHORIZED = 401;
    private static final int NOT_FOUND = 404;
    private static final int TOO_LARGE = 413;
    private static final int UNAVAILABLE = 503;

    /**
     * The retry delay while this process has no manifest yet, in milliseconds; reading one is the first thing it does.
     */
    private static final long STARTING_RETRY_MILLIS = 500;

    /**
     * The retry delay while this process is stopping, in milliseconds: minimal, since the client then reaches another
     * entry.
     */
    private static final long STOPPING_RETRY_MILLIS = 1;

    /**
     * The retry delay while this process may not know the newest manifest, in milliseconds: without contact to the
     * store, it queries a peer every 0.3 s.
     */
    private static final long STALE_MANIFEST_RETRY_MILLIS = 300;

    /** The retry delay while there is no room for a body, in milliseconds: in a second, answers under way free some. */
    private static final long MEMORY_RETRY_MILLIS = 1_000;

    private final ServingContext context;
    private final HeldBytes held;
    private final ClientMemory memory;
    private final ClientConnections connections = new ClientConnections();

    private ServingHandler(Dependencies dependencies) {
        this.context = new ServingContext(dependencies);
        this.held = dependencies.held();
        this.memory = new ClientMemory(held, dependencies.registry());
    }

    /**
     * The dependencies of a handler.
     *
     * @param view supplies the current view
     * @param selector chooses endpoints
     * @param caller sends requests on the traffic thread
     * @param protocol encodes requests to endpoints and decodes their responses
     * @param reader reads client requests
     * @param budget limits retries
     * @param registry the registry for metrics
     * @param monotonicMillis a monotonic clock in milliseconds
     * @param agentQueries queries the agents of endpoints
     * @param versionTimes when older weight versions may no longer serve requests
     * @param manifestAge how up to date the knowledge of operator changes is
     * @param crashes detects endpoint crashes
     * @param held counts the memory that is held for clients
     */
    public record Dependencies(
            Supplier<View> view,
            EndpointSelector selector,
            HttpClient caller,
            EndpointProtocol protocol,
            RequestReader reader,
            RetryBudget budget,
            MetricRegistry registry,
            LongSupplier monotonicMillis,
            AgentQueries agentQueries,
            VersionTimes versionTimes,
            ManifestAge manifestAge,
            CrashTracking crashes,
            HeldBytes held) {

        /** Checks that no component is null. */
        public Dependencies {
            Objects.requireNonNull(view, "view is null");
            Objects.requireNonNull(selector, "selector is null");
            Objects.requireNonNull(caller, "caller is null");
            Objects.requireNonNull(protocol, "protocol is null");
            Objects.requireNonNull(reader, "reader is null");
            Objects.requireNonNull(budget, "budget is null");
            Objects.requireNonNull(registry, "registry is null");
            Objects.requireNonNull(monotonicMillis, "monotonicMillis is null");
            Objects.requireNonNull(agentQueries, "agentQueries is null");
            Objects.requireNonNull(versionTimes, "versionTimes is null");
            Objects.requireNonNull(manifestAge, "manifestAge is null");
            Objects.requireNonNull(crashes, "crashes is null");
            Objects.requireNonNull(held, "held is null");
        }
    }

    /** Queries the agent of an endpoint; the query also contains what the entry knows of the endpoint's rate limit. */
    @FunctionalInterface
    public interface AgentQueries {

        /**
         * Sends a query, on the traffic thread.
         *
         * @param endpoint the endpoint
         * @param then receives once, on the same thread, whether the agent replied in time
         */
        void query(EndpointRegistration endpoint, Consumer<Boolean> then);
    }

    /**
     * When weight versions that are older than the one named may no longer serve requests.
     *
     * @param queryAfterMillis how long after the naming agents are queried before a request is sent to an older version
     * @param requireAfterMillis how long after the naming nothing is sent to older versions any more
     * @param cancelAfterMillis how long after the naming requests that an older version has not begun are cancelled
     *     there
     */
    public record VersionTimes(long queryAfterMillis, long requireAfterMillis, long cancelAfterMillis) {}

    /**
     * Creates a handler.
     *
     * @param dependencies its dependencies
     * @return the handler
     */
    public static ServingHandler of(Dependencies dependencies) {
        return new ServingHandler(dependencies);
    }

    /**
     * The connections of clients.
     *
     * @return the connections, to be closed when the process stops
     */
    public ClientConnections connections() {
        return connections;
    }

    /** Checks all requests in flight, and cancels or moves those at unresponsive endpoints; on the traffic thread. */
    public void checkRequests() {
        context.inFlight().checkAll();
    }

    /**
     * Begins a planned stop: each response asks its client to close the connection, and requests whose answers would
     * probably be cut are refused.
     *
     * @param refuseFromMillis the time on the monotonic clock from which all requests are refused, in milliseconds
     * @param endMillis the time at which {@link #endRequests} is called
     */
    public void startStopping(long refuseFromMillis, long endMillis) {
        context.stop().begin(refuseFromMillis, endMillis);
        connections.startDraining();
    }

    /** Ends all requests in flight with the outcome known so far, because the process stops; on the traffic thread. */
    public void endRequests() {
        context.inFlight().endAll("this entry stops");
    }

    /** The number of requests that wait for a slot; on the traffic thread. */
    int waitingRequests() {
        return context.waitQueue().size();
    }

    // -- agents

    /**
     * Returns the demand that agents are told; on the traffic thread.
     *
     * @return the demand of the requests for models
     */
    public EntryDemand demand() {
        return context.classes().demand();
    }

    /**
     * Records what an agent grants; on the traffic thread.
     *
     * @param grants the grants
     */
    public void granted(SlotGrants grants) {
        context.classes().granted(grants);
    }

    // -- requests

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        context.metrics().received.inc();
        connections.requestStarted(exchange);
        OptionalLong knownAsOf = knownAsOf();
        Optional<RouteManifest> manifest = context.view().manifest();
        if (refusedWhateverItsBody(exchange, manifest, knownAsOf)) {
            return;
        }
        RequestBody.receive(
                exchange,
                manifest.orElseThrow().maxBodyBytes(),
                held,
                received -> handleBody(exchange, received, knownAsOf));
    }

    /** Refuses a request by its head alone, if that is possible, so that nothing is held for its body. */
    private boolean refusedWhateverItsBody(
            HttpServerExchange exchange, Optional<RouteManifest> manifest, OptionalLong knownAsOf) {
        if (connections.closing() || context.stop().refusesAll(context.nowMillis())) {
            refuse(exchange, UNAVAILABLE, "this entry is stopping", STOPPING_RETRY_MILLIS);
            return true;
        }
        if (manifest.isEmpty()) {
            refuse(exchange, UNAVAILABLE, "this entry has not read the manifest yet", STARTING_RETRY_MILLIS);
            return true;
        }
        Optional<RequestReader.ReadResult.Refused> refused = context.reader().check(exchange, manifest.get());
        refused.ifPresent(reason -> refuse(exchange, reason, knownAsOf));
        return refused.isPresent();
    }

    /** Must be read before the view, so that the view contains at least all that was known at this time. */
    private OptionalLong knownAsOf() {
        return context.manifestAge().asOfMillis().get();
    }

    private void handleBody(HttpServerExchange exchange, RequestBody.Received received, OptionalLong knownAsOf) {
        switch (received) {
            case RequestBody.Received.TooLong(long maxBytes) ->
                refuseByManifest(
                        exchange, TOO_LARGE, "the body is longer than the " + maxBytes + " bytes allowed", knownAsOf);
            case RequestBody.Received.NoRoom(long bodyBytes) -> {
                memory.recordRefused(exchange, bodyBytes);
                refuse(exchange, UNAVAILABLE, "this entry has no memory for the body now", MEMORY_RETRY_MILLIS);
            }
            case RequestBody.Received.BrokenOff(IOException cause) ->
                refuse(exchange, BAD_REQUEST, "the body cannot be read: " + cause.getMessage(), 0);
            case RequestBody.Received.Whole(byte[] bytes) -> handleComplete(exchange, bytes);
        }
    }

    /** Handles a request whose body has come, by what is known now. */
    private void handleComplete(HttpServerExchange exchange, byte[] body) {
        OptionalLong knownAsOf = knownAsOf();
        Optional<RouteManifest> manifest = context.view().manifest();
        if (refusedWhateverItsBody(exchange, manifest, knownAsOf)) {
            return;
        }
        if (body.length > manifest.orElseThrow().maxBodyBytes()) {
            refuseByManifest(exchange, TOO_LARGE, "the body is larger than the manifest allows", knownAsOf);
            return;
        }
        switch (context.reader().read(exchange, body, manifest.get(), context.nowMillis())) {
            case RequestReader.ReadResult.Refused refused -> refuse(exchange, refused, knownAsOf);
            case RequestReader.ReadResult.Allowed(ClientRequest request) -> serve(exchange, request);
        }
    }

    private void refuse(HttpServerExchange exchange, RequestReader.ReadResult.Refused refused, OptionalLong knownAsOf) {
        if (dependsOnManifest(refused.status())) {
            refuseByManifest(exchange, refused.status(), refused.reason(), knownAsOf);
        } else {
            refuse(exchange, refused.status(), refused.reason(), 0);
        }
    }

    /** Whether a newer manifest might allow the request; a malformed request is invalid under any manifest. */
    private static boolean dependsOnManifest(int status) {
        return status == UNAUTHORIZED || status == NOT_FOUND;
    }

    /** Refuses a request that the manifest does not allow, if the manifest is known to be current. */
    private void refuseByManifest(HttpServerExchange exchange, int status, String reason, OptionalLong knownAsOf) {
        if (context.manifestAge().provesCurrent(knownAsOf, context.nowMillis())) {
            refuse(exchange, status, reason, 0);
        } else {
            refuse(
                    exchange,
                    UNAVAILABLE,
                    "this entry may not know the newest manifest; by its own, " + reason,
                    STALE_MANIFEST_RETRY_MILLIS);
        }
    }

    private void serve(HttpServerExchange exchange, ClientRequest request) {
        ClientResponse response = new ClientResponse(exchange, memory);
        ServedRequest served = new ServedRequest(context, request, response, exchange.getIoThread());
        response.onEnd(served::end, served::onClientDisconnected);
        DisconnectDetector.start(exchange, held, served::onClientDisconnected);
        served.begin();
    }

    private void refuse(HttpServerExchange exchange, int status, String reason, long retryAfterMillis) {
        LOG.info(
                "event=refused request={} host={} path={} status={} {} why=\"{}\"",
                context.reader().id(exchange),
                exchange.getRequestHeaders().getFirst(Headers.HOST),
                exchange.getRequestPath(),
                status,
                context.viewAge(),
                reason);
        RequestBody.discardAvailable(exchange);
        new ClientResponse(exchange, memory).sendOwn(status, reason, retryAfterMillis);
    }
}
