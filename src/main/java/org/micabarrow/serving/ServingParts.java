package org.micabarrow.serving;

import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.function.Consumer;
import org.micabarrow.admission.AdmissionControl;
import org.micabarrow.admission.AdmissionControl.Decision;
import org.micabarrow.admission.FirstAttemptEstimator;
import org.micabarrow.attempts.ClientRequest;
import org.micabarrow.coordination.admission.RetryBudget;
import org.micabarrow.crashes.LazyDigest;
import org.micabarrow.routing.EndpointRegistration;
import org.micabarrow.routing.EndpointLoad;
import org.micabarrow.routing.RouteManifest;
import org.micabarrow.routing.Wanted;
import org.micabarrow.transport.HttpClient;
import org.micabarrow.views.View;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** What all requests of an entry share. Used by the one thread for traffic, but for the view and the metrics. */
final class ServingParts {

    private static final Logger LOG = LoggerFactory.getLogger("org.micabarrow.request");

    private final ServingHandler.Parts given;
    private final WeightVersions versions;
    private final ServingMetrics metrics;
    private final OpenRequests open = new OpenRequests();
    private final FirstAttemptEstimator firstTries = new FirstAttemptEstimator();
    private final AdmissionControl admission;
    private final RoomLine line;
    private final SuspectCare suspects;
    private final CrashWatch crashes;

    /**
     * Adds to what a handler works with what its requests share.
     *
     * @param given what the handler works with
     */
    ServingParts(ServingHandler.Parts given) {
        this.given = Objects.requireNonNull(given, "given is null");
        this.versions = new WeightVersions(given);
        this.metrics = new ServingMetrics(given.registry());
        this.admission = new AdmissionControl(given.choice());
        this.line = new RoomLine(given.steadyMillis());
        this.suspects = new SuspectCare(given.crashes().book(), given.choice(), admission);
        this.crashes = new CrashWatch(given.crashes(), given.steadyMillis());
    }

    // -- parts

    View view() {
        return given.view().get();
    }

    RequestReader reader() {
        return given.reader();
    }

    HttpClient caller() {
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

    FirstAttemptEstimator firstTries() {
        return firstTries;
    }

    RoomLine line() {
        return line;
    }

    SuspectCare suspects() {
        return suspects;
    }

    CrashWatch crashes() {
        return crashes;
    }

    ManifestAge manifestAge() {
        return given.manifestAge();
    }

    long nowMillis() {
        return given.steadyMillis().getAsLong();
    }

    // -- choosing

    EndpointLoad load(EndpointRegistration endpoint) {
        return given.choice().load(endpoint.start());
    }

    boolean silent(EndpointRegistration endpoint) {
        return given.choice().silent(endpoint, nowMillis());
    }

    boolean rests(EndpointRegistration endpoint) {
        return given.choice().rests(endpoint, nowMillis());
    }

    /** Whether an endpoint has said that it leaves, so that its end is no crash. */
    boolean saysThatItLeaves(EndpointRegistration endpoint) {
        EndpointRegistration now = view().endpoints().getOrDefault(endpoint.id(), endpoint);
        return now.start().equals(endpoint.start()) && given.choice().leaves(now);
    }

    /** Whether an endpoint says that it leaves, is listed no more, or has started again without what was sent to it. */
    boolean leaves(EndpointRegistration endpoint) {
        EndpointRegistration now = view().endpoints().get(endpoint.id());
        return now == null
                || !now.start().equals(endpoint.start())
                || given.choice().leaves(now);
    }

    /** An endpoint said in an answer that it leaves: nothing new goes there from now on, whatever else says that it stays. */
    void saidThatItLeaves(EndpointRegistration endpoint) {
        if (given.choice().saidThatItLeaves(endpoint.start())) {
            LOG.info("event=endpoint_leaves endpoint={} from=answer", endpoint.id());
        }
    }

    /** Whether an endpoint's limit allows this entry a request now. */
    boolean withinLimit(EndpointRegistration endpoint) {
        return given.choice().withinLimit(endpoint, nowMillis());
    }

    /** Counts a request that is turned away for want of room; agents divide their endpoints' places by it. */
    void turnedAway(ClientRequest request) {
        if (versions.model(request).isPresent()) {
            given.choice().unmet().turnedAway(nowMillis());
        }
    }

    /** What happens to a request of which so much of the objective is left. */
    Decision decide(ClientRequest request, LazyDigest digest, long millisToObjective, Set<String> tried) {
        List<EndpointRegistration> endpoints = view().endpointsOf(request.service());
        return suspects.decide(endpoints, wanted(request, millisToObjective, tried), digest, nowMillis());
    }

    private Wanted wanted(ClientRequest request, long millisToObjective, Set<String> tried) {
        return new Wanted(
                request.promptTokens(),
                request.route().objectiveMillis(),
                millisToObjective,
                request.deadlineMillis() - nowMillis(),
                versions.model(request),
                versions.least(request),
                versions.newest(request),
                tried);
    }

    /** Whether an endpoint's agent is to be asked before the request is sent there. */
    boolean mustAsk(ClientRequest request, EndpointRegistration endpoint) {
        return versions.askDue(request, endpoint) && given.choice().mustAsk(endpoint, wanted(request, 0, Set.of()));
    }

    /** Asks an endpoint's agent, and tells then whether the request may be sent there. */
    void ask(ClientRequest request, EndpointRegistration endpoint, Consumer<Boolean> then) {
        given.questions().ask(endpoint, inTime -> {
            if (!inTime) {
                load(endpoint).notAnswered();
            }
            then.accept(inTime && able(request, endpoint));
        });
    }

    /** Goes on once an endpoint's agent has answered or was given up; at once if there is none. */
    void hear(ClientRequest request, EndpointRegistration endpoint, Runnable then) {
        if (load(endpoint).hasAgent()) {
            ask(request, endpoint, ignored -> then.run());
        } else {
            then.run();
        }
    }

    /** Whether an endpoint may get a request at all, by what is known now. */
    boolean able(ClientRequest request, EndpointRegistration endpoint) {
        return given.choice().able(endpoint, wanted(request, 0, Set.of()), nowMillis());
    }

    // -- for the client and the log

    /** When a refused client is told to come back, in milliseconds from now: not before one endpoint has had its rest. */
    long comeBackMillis(ClientRequest request) {
        List<EndpointRegistration> endpoints = view().endpointsOf(request.service());
        return given.choice()
                .allRestMillis(endpoints, wanted(request, 0, Set.of()), nowMillis())
                .orElseGet(() -> AdmissionControl.comeBackMillis(request.deadlineMillis() - nowMillis()));
    }

    /** Notes that a client is refused and when it is told to come back, which is returned. */
    long refused(ClientRequest request, long comeBackMillis) {
        firstTries.refused(request.route(), comeBackMillis, nowMillis());
        return comeBackMillis;
    }

    /** The view that decisions are made on, and how long ago all that operators wrote was known, for the log. */
    String viewAge() {
        View now = view();
        return "manifest=" + now.manifest().map(RouteManifest::version).orElse(-1L) + " offset=" + now.manifestOffset()
                + " knownMsAgo=" + given.manifestAge().shownMillis(nowMillis());
    }
}
