package org.micabarrow.serving;

import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.function.Consumer;
import org.micabarrow.attempts.ClientRequest;
import org.micabarrow.coordination.admission.RetryBudget;
import org.micabarrow.routing.EndpointChoice.Choice;
import org.micabarrow.routing.EndpointChoice.Wanted;
import org.micabarrow.routing.EndpointEntry;
import org.micabarrow.routing.EndpointLoad;
import org.micabarrow.routing.RouteManifest;
import org.micabarrow.transport.HttpCaller;
import org.micabarrow.views.View;

/** What all requests of an entry share. Used by the one thread for traffic, but for the view and the metrics. */
final class ServingParts {

    /**
     * The part of its remaining time after which a refused client is told to come back. Its objective counts anew from
     * then, so late is as good as soon, and a queue or a weight version that is being taken up needs a second or two;
     * clients heed up to a third.
     */
    private static final double COME_BACK_PART = 0.3;

    private final ServingHandler.Parts given;
    private final WeightVersions versions;
    private final ServingMetrics metrics;
    private final OpenRequests open = new OpenRequests();

    /**
     * Adds to what a handler works with what its requests share.
     *
     * @param given what the handler works with
     */
    ServingParts(ServingHandler.Parts given) {
        this.given = Objects.requireNonNull(given, "given is null");
        this.versions = new WeightVersions(given);
        this.metrics = new ServingMetrics(given.registry());
    }

    // -- parts

    View view() {
        return given.view().get();
    }

    RequestReader reader() {
        return given.reader();
    }

    HttpCaller caller() {
        return given.caller();
    }

    EndpointProtocol protocol() {
        return given.protocol();
    }

    RetryBudget budget() {
        return given.budget();
    }

    WeightVersions versions() {
        return versions;
    }

    ServingMetrics metrics() {
        return metrics;
    }

    OpenRequests open() {
        return open;
    }

    long nowMillis() {
        return given.steadyMillis().getAsLong();
    }

    // -- choosing

    EndpointLoad load(String endpoint) {
        return given.choice().load(endpoint);
    }

    boolean silent(EndpointEntry endpoint) {
        return given.choice().silent(endpoint, nowMillis());
    }

    /** Whether an endpoint says that it leaves, or is listed no more. */
    boolean leaves(EndpointEntry endpoint) {
        EndpointEntry now = view().endpoints().get(endpoint.id());
        return now == null || now.leaving();
    }

    Choice choose(ClientRequest request, Set<String> tried) {
        List<EndpointEntry> endpoints = view().endpointsOf(request.service());
        return given.choice().choose(endpoints, wanted(request, tried), nowMillis());
    }

    private Wanted wanted(ClientRequest request, Set<String> tried) {
        return new Wanted(
                request.promptTokens(),
                request.route().objectiveMillis(),
                versions.model(request),
                versions.least(request),
                versions.newest(request),
                tried);
    }

    /** Whether an endpoint that was not tried yet could take the request. */
    boolean otherEndpoint(ClientRequest request, Set<String> tried) {
        return choose(request, tried) instanceof Choice.Send;
    }

    /** Whether an endpoint's agent is to be asked before the request is sent there. */
    boolean mustAsk(ClientRequest request, EndpointEntry endpoint) {
        return versions.askDue(request, endpoint) && given.choice().mustAsk(endpoint, wanted(request, Set.of()));
    }

    /** Asks an endpoint's agent, and tells then whether the request may be sent there. */
    void ask(ClientRequest request, EndpointEntry endpoint, Consumer<Boolean> then) {
        given.questions().ask(endpoint, inTime -> {
            if (!inTime) {
                load(endpoint.id()).notAnswered();
            }
            then.accept(inTime && able(request, endpoint));
        });
    }

    private boolean able(ClientRequest request, EndpointEntry endpoint) {
        return given.choice().able(endpoint, wanted(request, Set.of()), nowMillis());
    }

    // -- for the client and the log

    /** When a refused client is told to come back, in milliseconds from now. */
    long comeBackMillis(ClientRequest request) {
        return Math.max(1, Math.round((request.deadlineMillis() - nowMillis()) * COME_BACK_PART));
    }

    /** The view that decisions are made on, for the log. */
    String viewAge() {
        View now = view();
        return "manifest=" + now.manifest().map(RouteManifest::version).orElse(-1L) + " offset=" + now.manifestOffset();
    }
}
