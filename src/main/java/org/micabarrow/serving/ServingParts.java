package org.micabarrow.serving;

import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import org.micabarrow.attempts.ClientRequest;
import org.micabarrow.coordination.RetryBudget;
import org.micabarrow.routing.EndpointChoice.Choice;
import org.micabarrow.routing.EndpointChoice.Wanted;
import org.micabarrow.routing.EndpointEntry;
import org.micabarrow.routing.EndpointLoad;
import org.micabarrow.routing.ModelService;
import org.micabarrow.routing.RouteManifest;
import org.micabarrow.transport.HttpCaller;
import org.micabarrow.views.View;

/** What all requests of an entry share. Used by the one thread for traffic, but for the view and the metrics. */
final class ServingParts {

    /**
     * The part of its remaining time after which a refused client is told to come back. Its objective counts anew from
     * then, so late is as good as soon, and a queue or a weight version that is being taken up needs a second or two; clients
     * heed up to a third.
     */
    private static final double COME_BACK_PART = 0.3;

    private final ServingHandler.Parts given;
    private final ServingMetrics metrics;
    private final OpenRequests open = new OpenRequests();

    /**
     * Adds to what a handler works with what its requests share.
     *
     * @param given what the handler works with
     */
    ServingParts(ServingHandler.Parts given) {
        this.given = Objects.requireNonNull(given, "given is null");
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

    Choice choose(ClientRequest request, Set<String> tried) {
        List<EndpointEntry> endpoints = view().endpointsOf(request.service());
        return given.choice().choose(endpoints, wanted(request, tried), nowMillis());
    }

    private Wanted wanted(ClientRequest request, Set<String> tried) {
        return new Wanted(
                request.promptTokens(),
                request.route().objectiveMillis(),
                model(request),
                leastVersion(request),
                newestVersion(request),
                tried);
    }

    /** Whether an endpoint's agent is to be asked before the request is sent there. */
    boolean mustAsk(ClientRequest request, EndpointEntry endpoint) {
        OptionalLong named = newerNamedMillis(request, endpoint);
        return named.isPresent()
                && nowMillis() - named.getAsLong() >= given.versionTimes().askMillis()
                && given.choice().mustAsk(endpoint, wanted(request, Set.of()));
    }

    /** Asks an endpoint's agent, and tells then whether the request may be sent there. */
    void ask(ClientRequest request, EndpointEntry endpoint, Consumer<Boolean> then) {
        given.questions().ask(endpoint, inTime -> {
            if (!inTime) {
                load(endpoint.id()).notAnswered();
            }
            then.accept(inTime && given.choice().able(endpoint, wanted(request, Set.of()), nowMillis()));
        });
    }

    /** How long a request may still wait at an endpoint that holds an older version than was named; empty at any other. */
    OptionalLong millisToBegin(ClientRequest request, EndpointEntry endpoint) {
        OptionalLong named = newerNamedMillis(request, endpoint);
        return named.isPresent()
                ? OptionalLong.of(named.getAsLong() + given.versionTimes().cancelMillis() - nowMillis())
                : OptionalLong.empty();
    }

    /** When the oldest version that is newer than an endpoint's was named; empty if it holds the newest. */
    private OptionalLong newerNamedMillis(ClientRequest request, EndpointEntry endpoint) {
        return model(request)
                .map(model -> view().newerNamedMillis(model.model(), heldVersion(endpoint, model)))
                .orElse(OptionalLong.empty());
    }

    private long heldVersion(EndpointEntry endpoint, ModelService model) {
        long entered = endpoint.models().getOrDefault(model.model(), 0L);
        return Math.max(entered, load(endpoint.id()).version());
    }

    /** Whether an endpoint that was not tried yet could take the request. */
    boolean otherEndpoint(ClientRequest request, Set<String> tried) {
        return choose(request, new HashSet<>(tried)) instanceof Choice.Send;
    }

    private Optional<ModelService> model(ClientRequest request) {
        return view().manifest()
                .flatMap(manifest -> manifest.service(request.service()))
                .flatMap(RouteManifest.Service::model);
    }

    private long newestVersion(ClientRequest request) {
        return model(request)
                .flatMap(model -> view().newestTarget(model.model()))
                .map(View.Target::version)
                .orElse(0L);
    }

    /**
     * The least weight version that may still answer; 0 for any. A process that found a version named at its start does not
     * know for how long, nor which came before: it demands the newest that any endpoint of the service holds.
     */
    private long leastVersion(ClientRequest request) {
        return model(request).map(model -> leastVersion(request, model.model())).orElse(0L);
    }

    private long leastVersion(ClientRequest request, String model) {
        long due = view().leastVersion(model, given.versionTimes().demandMillis(), nowMillis());
        boolean found =
                view().newestTarget(model).filter(target -> !target.seenNamed()).isPresent();
        long held = found
                ? view().endpointsOf(request.service()).stream()
                        .mapToLong(endpoint -> endpoint.models().getOrDefault(model, 0L))
                        .max()
                        .orElse(0)
                : 0;
        return Math.max(due, held);
    }

    /** The only version that may answer at an endpoint, once the time for older ones is over. */
    Optional<Long> expectedVersion(ClientRequest request, EndpointEntry endpoint) {
        long least = leastVersion(request);
        if (least == 0) {
            return Optional.empty();
        }
        long held = model(request).map(model -> heldVersion(endpoint, model)).orElse(0L);
        return Optional.of(Math.max(least, held));
    }

    long comeBackMillis(ClientRequest request) {
        return Math.max(1, Math.round((request.deadlineMillis() - nowMillis()) * COME_BACK_PART));
    }

    /** The view that decisions are made on, for the log. */
    String viewAge() {
        View now = view();
        return "manifest=" + now.manifest().map(RouteManifest::version).orElse(-1L) + " offset=" + now.manifestOffset();
    }
}
