package org.micabarrow.serving;

import com.codahale.metrics.MetricRegistry;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RequestTooBigException;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.micabarrow.attempts.ClientRequest;
import org.micabarrow.coordination.admission.RetryBudget;
import org.micabarrow.routing.EndpointRegistration;
import org.micabarrow.routing.EndpointSelector;
import org.micabarrow.routing.RouteManifest;
import org.micabarrow.transport.HttpClient;
import org.micabarrow.views.View;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Takes clients' requests and passes each straight to an endpoint. */
public final class ServingHandler implements HttpHandler {

    private static final Logger LOG = LoggerFactory.getLogger("org.micabarrow.request");

    private static final int BAD_REQUEST = 400;
    private static final int UNAUTHORIZED = 401;
    private static final int NOT_FOUND = 404;
    private static final int TOO_LARGE = 413;
    private static final int UNAVAILABLE = 503;

    /** When to come back to a process that has no manifest yet, in milliseconds: it reads one as its first act. */
    private static final long STARTING_MILLIS = 500;

    /** When to come back if this process stops, in milliseconds: at once, since the client then meets another entry. */
    private static final long STOPPING_MILLIS = 1;

    /**
     * When to come back to a process that may not know the newest manifest, in milliseconds: while it does not hear from the store
     * it asks a peer every 0.3 s.
     */
    private static final long MAY_NOT_KNOW_MILLIS = 300;

    private final ServingParts parts;
    private final ClientConnections connections = new ClientConnections();

    private ServingHandler(ServingParts parts) {
        this.parts = parts;
    }

    /**
     * What a handler works with.
     *
     * @param view the view in force
     * @param choice chooses endpoints
     * @param caller sends requests, on the thread for traffic
     * @param protocol writes requests to endpoints and reads their answers
     * @param reader reads clients' requests
     * @param budget bounds repeats
     * @param registry where it counts
     * @param steadyMillis a clock that never steps, in milliseconds
     * @param questions asks endpoints' agents
     * @param versionTimes when older weight versions may answer no more
     * @param manifestAge how long ago all that operators wrote was known
     * @param crashes what is known of endpoints that crashed
     */
    public record Parts(
            Supplier<View> view,
            EndpointSelector choice,
            HttpClient caller,
            EndpointProtocol protocol,
            RequestReader reader,
            RetryBudget budget,
            MetricRegistry registry,
            LongSupplier steadyMillis,
            AgentQuestions questions,
            VersionTimes versionTimes,
            ManifestAge manifestAge,
            CrashTracking crashes) {

        /** Checks that nothing is missing. */
        public Parts {
            Objects.requireNonNull(view, "view is null");
            Objects.requireNonNull(choice, "choice is null");
            Objects.requireNonNull(caller, "caller is null");
            Objects.requireNonNull(protocol, "protocol is null");
            Objects.requireNonNull(reader, "reader is null");
            Objects.requireNonNull(budget, "budget is null");
            Objects.requireNonNull(registry, "registry is null");
            Objects.requireNonNull(steadyMillis, "steadyMillis is null");
            Objects.requireNonNull(questions, "questions is null");
            Objects.requireNonNull(versionTimes, "versionTimes is null");
            Objects.requireNonNull(manifestAge, "manifestAge is null");
            Objects.requireNonNull(crashes, "crashes is null");
        }
    }

    /** Asks the agent beside an endpoint whether it is there. */
    @FunctionalInterface
    public interface AgentQuestions {

        /**
         * Asks now; on the thread for traffic.
         *
         * @param endpoint the endpoint
         * @param then learns on the same thread, once, whether the agent answered in time
         */
        void ask(EndpointRegistration endpoint, Consumer<Boolean> then);
    }

    /**
     * When a weight version that is older than the one named may answer no more.
     *
     * @param askMillis how long after the naming agents are asked before a request is sent to an older version
     * @param demandMillis how long after the naming nothing is sent to older versions any more
     * @param cancelMillis how long after the naming requests that an older version has not begun are cancelled there
     */
    public record VersionTimes(long askMillis, long demandMillis, long cancelMillis) {}

    /**
     * Makes a handler.
     *
     * @param parts what it works with
     * @return the handler
     */
    public static ServingHandler of(Parts parts) {
        return new ServingHandler(new ServingParts(parts));
    }

    /**
     * The connections of clients.
     *
     * @return the connections, to be closed when the process stops
     */
    public ClientConnections connections() {
        return connections;
    }

    /** Takes back or moves what waits at endpoints of which nothing is heard; on the thread for traffic. */
    public void lookAfterRequests() {
        parts.open().lookAfterAll();
    }

    /** Answers all open requests by what is known of them, because the process ends; on the thread for traffic. */
    public void endRequests() {
        parts.open().endAll("this entry stops");
    }

    // -- requests

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        parts.metrics().received.inc();
        connections.begun(exchange);
        OptionalLong knownAsOf = knownAsOf();
        parts.view().manifest().ifPresent(manifest -> exchange.setMaxEntitySize(manifest.maxBodyBytes()));
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (same, body) -> same.dispatch(SameThreadExecutor.INSTANCE, () -> begin(exchange, body)),
                        (same, error) ->
                                same.dispatch(SameThreadExecutor.INSTANCE, () -> notRead(exchange, error, knownAsOf)));
    }

    /** To be taken before the view, which then holds all that was known at this moment, and perhaps more. */
    private OptionalLong knownAsOf() {
        return parts.manifestAge().asOfMillis().get();
    }

    private void notRead(HttpServerExchange exchange, IOException error, OptionalLong knownAsOf) {
        String why = "the body cannot be read: " + error.getMessage();
        if (error instanceof RequestTooBigException) {
            refuseByManifest(exchange, TOO_LARGE, why, knownAsOf);
        } else {
            refuse(exchange, BAD_REQUEST, why, 0);
        }
    }

    private void begin(HttpServerExchange exchange, byte[] body) {
        OptionalLong knownAsOf = knownAsOf();
        Optional<RouteManifest> manifest = parts.view().manifest();
        if (connections.closing()) {
            refuse(exchange, UNAVAILABLE, "this entry is stopping", STOPPING_MILLIS);
            return;
        }
        if (manifest.isEmpty()) {
            refuse(exchange, UNAVAILABLE, "this entry has not read the manifest yet", STARTING_MILLIS);
            return;
        }
        if (body.length > manifest.get().maxBodyBytes()) {
            refuseByManifest(exchange, TOO_LARGE, "the body is larger than the manifest allows", knownAsOf);
            return;
        }
        switch (parts.reader().read(exchange, body, manifest.get(), parts.nowMillis())) {
            case RequestReader.Reading.Refused(int status, String why)
            when ofManifest(status) -> refuseByManifest(exchange, status, why, knownAsOf);
            case RequestReader.Reading.Refused(int status, String why) -> refuse(exchange, status, why, 0);
            case RequestReader.Reading.Understood(ClientRequest request) -> run(exchange, request);
        }
    }

    /** Whether a newer manifest may take that request: one that cannot be read is wrong by each. */
    private static boolean ofManifest(int status) {
        return status == UNAUTHORIZED || status == NOT_FOUND;
    }

    /** Refuses what the manifest does not allow, if it is known to be one that must be in force. */
    private void refuseByManifest(HttpServerExchange exchange, int status, String why, OptionalLong knownAsOf) {
        if (parts.manifestAge().provesAllInForce(knownAsOf, parts.nowMillis())) {
            refuse(exchange, status, why, 0);
        } else {
            refuse(
                    exchange,
                    UNAVAILABLE,
                    "this entry may not know the newest manifest; by its own, " + why,
                    MAY_NOT_KNOW_MILLIS);
        }
    }

    private void run(HttpServerExchange exchange, ClientRequest request) {
        ServedRequest run = new ServedRequest(parts, request, new ClientAnswer(exchange), exchange.getIoThread());
        ClientWatch.start(exchange, run::clientGone);
        run.begin();
    }

    private void refuse(HttpServerExchange exchange, int status, String why, long retryAfterMillis) {
        LOG.info(
                "event=refused request={} host={} path={} status={} {} why=\"{}\"",
                parts.reader().id(exchange),
                exchange.getRequestHeaders().getFirst(Headers.HOST),
                exchange.getRequestPath(),
                status,
                parts.viewAge(),
                why);
        new ClientAnswer(exchange).own(status, why, retryAfterMillis);
    }
}
