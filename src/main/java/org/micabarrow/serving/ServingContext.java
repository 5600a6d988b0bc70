package org.micabarrow.serving;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.micabarrow.admission.AdmissionControl;
import org.micabarrow.admission.AdmissionControl.Decision;
import org.micabarrow.admission.FirstAttemptEstimator;
import org.micabarrow.admission.RecentRequests;
import org.micabarrow.admission.SizeBand;
import org.micabarrow.attempts.ClientRequest;
import org.micabarrow.coordination.admission.RetryBudget;
import org.micabarrow.crashes.RequestCauses;
import org.micabarrow.liveness.IdentityQuery;
import org.micabarrow.liveness.Liveness;
import org.micabarrow.liveness.LivenessCheck;
import org.micabarrow.liveness.OpenAttempts;
import org.micabarrow.routing.AnswerLengths;
import org.micabarrow.routing.EndpointLoad;
import org.micabarrow.routing.EndpointRegistration;
import org.micabarrow.routing.RequestClass;
import org.micabarrow.routing.RequestSize;
import org.micabarrow.routing.RouteManifest;
import org.micabarrow.routing.RoutingRequest;
import org.micabarrow.transport.HttpClient;
import org.micabarrow.views.View;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioIoThread;

/**
 * State and services shared by all requests of an entry. Used by the traffic thread, except for the view and the
 * metrics.
 */
final class ServingContext {

    private static final Logger LOG = LoggerFactory.getLogger("org.micabarrow.request");

    private final ServingHandler.Dependencies dependencies;
    private final WeightVersions versions;
    private final ServingMetrics metrics;
    private final InFlightRequests inFlight = new InFlightRequests();
    private final FirstAttemptEstimator firstAttempts = new FirstAttemptEstimator();
    private final OpenAttempts openAttempts = new OpenAttempts();
    private final AnswerLengths answerLengths = new AnswerLengths();
    private final RecentRequests recent = new RecentRequests();
    private final AdmissionControl admission;
    private final EntryWaitQueue waitQueue;
    private final RequestClasses classes;
    private final SuspectAdmission suspects;
    private final CrashDetector crashes;
    private final RequestPlacement placement;
    private final PlannedStop stop = new PlannedStop();

    /**
     * Creates the shared state.
     *
     * @param dependencies the handler's dependencies
     */
    ServingContext(ServingHandler.Dependencies dependencies) {
        this.dependencies = Objects.requireNonNull(dependencies, "dependencies is null");
        this.versions = new WeightVersions(dependencies);
        this.metrics = new ServingMetrics(dependencies.registry());
        this.admission = new AdmissionControl(dependencies.selector());
        this.waitQueue = new EntryWaitQueue(dependencies.monotonicMillis());
        this.classes = new RequestClasses(
                dependencies.selector(), waitQueue, dependencies.registry(), dependencies.monotonicMillis());
        this.suspects = new SuspectAdmission(dependencies.crashes().registry(), dependencies.selector(), admission);
        this.crashes = new CrashDetector(dependencies.crashes(), dependencies.monotonicMillis());
        this.placement = new RequestPlacement(
                dependencies.view(), dependencies.selector().placement());
    }

    // -- components

    View view() {
        return dependencies.view().get();
    }

    RequestReader reader() {
        return dependencies.reader();
    }

    HttpClient caller() {
        return dependencies.caller();
    }

    EndpointProtocol protocol() {
        return dependencies.protocol();
    }

    RetryBudget budget() {
        return dependencies.budget();
    }

    WeightVersions versions() {
        return versions;
    }

    ServingMetrics metrics() {
        return metrics;
    }

    /** Records how old the agent's report is by which an endpoint was selected. */
    void recordReportAge(EndpointRegistration endpoint) {
        EndpointLoad load = load(endpoint);
        if (load.contact().hasAgent()) {
            metrics.reportAge.update(load.contact().millisSinceReport(nowMillis()), TimeUnit.MILLISECONDS);
        }
    }

    PlannedStop stop() {
        return stop;
    }

    InFlightRequests inFlight() {
        return inFlight;
    }

    FirstAttemptEstimator firstAttempts() {
        return firstAttempts;
    }

    EntryWaitQueue waitQueue() {
        return waitQueue;
    }

    RequestClasses classes() {
        return classes;
    }

    SuspectAdmission suspects() {
        return suspects;
    }

    CrashDetector crashes() {
        return crashes;
    }

    OpenAttempts openAttempts() {
        return openAttempts;
    }

    ManifestAge manifestAge() {
        return dependencies.manifestAge();
    }

    long nowMillis() {
        return dependencies.monotonicMillis().getAsLong();
    }

    // -- routing

    AnswerLengths answerLengths() {
        return answerLengths;
    }

    /** The size of a request with the answer that is to be expected by its route's earlier answers. */
    RequestSize expectedSize(ClientRequest request) {
        return answerLengths.expected(request.route().name(), request.size());
    }

    EndpointLoad load(EndpointRegistration endpoint) {
        return dependencies.selector().load(endpoint.start());
    }

    boolean isUnresponsive(EndpointRegistration endpoint) {
        return dependencies.selector().unresponsive(endpoint, nowMillis());
    }

    boolean isBackingOff(EndpointRegistration endpoint) {
        return dependencies.selector().inBackoff(endpoint, nowMillis());
    }

    /** Whether an endpoint has stated that it is draining, so that its end is no crash. */
    boolean isDraining(EndpointRegistration endpoint) {
        EndpointRegistration now = view().endpoints().getOrDefault(endpoint.id(), endpoint);
        return now.start().equals(endpoint.start()) && dependencies.selector().isDraining(now);
    }

    /** Whether an endpoint is draining, is no longer listed, or has restarted without the requests sent to it. */
    boolean isGoneOrDraining(EndpointRegistration endpoint) {
        EndpointRegistration now = view().endpoints().get(endpoint.id());
        return now == null
                || !now.start().equals(endpoint.start())
                || dependencies.selector().isDraining(now);
    }

    /**
     * Records that a response stated that its endpoint is draining. It gets no new requests from now on, even if other
     * sources still report it as ready.
     */
    void markDraining(EndpointRegistration endpoint) {
        if (dependencies.selector().markDraining(endpoint.start())) {
            LOG.info("event=endpoint_leaves endpoint={} from=answer", endpoint.id());
        }
    }

    /** Whether an endpoint's rate limit allows this entry a request now. */
    boolean withinRateLimit(EndpointRegistration endpoint) {
        return dependencies.selector().withinRateLimit(endpoint, nowMillis());
    }

    /**
     * Sends a changed rate limit to the endpoint's agent without waiting for the next round of queries, so that other
     * entries do not use up the limit in the meantime.
     */
    void reportRateLimit(EndpointRegistration endpoint) {
        // Each query contains the limit; a lost one is repeated by the next round.
        dependencies.agentQueries().query(endpoint, ignored -> {});
    }

    /** Records that a response stated how much longer its endpoint stays cold. */
    void coldStated(EndpointRegistration endpoint, long leftMillis) {
        dependencies.selector().cold().stated(endpoint.start(), leftMillis, "answer", nowMillis());
    }

    /**
     * Finds out whether an endpoint's start still runs.
     *
     * @param endpoint the endpoint
     * @param endedMillis when the connection ended that gives reason to ask
     * @param thread the traffic thread
     * @param callback receives the result on that thread
     */
    void checkLiveness(
            EndpointRegistration endpoint, long endedMillis, XnioIoThread thread, Consumer<Liveness> callback) {
        Optional<String> healthPath = view().manifest()
                .flatMap(manifest -> manifest.service(endpoint.service()))
                .filter(service -> service.model().isEmpty())
                .flatMap(RouteManifest.Service::healthPath);
        IdentityQuery query = new IdentityQueries(caller(), protocol(), thread, healthPath);
        LivenessCheck.begin(
                query, dependencies.crashes().probe(), endpoint, () -> replacement(endpoint, endedMillis), callback);
    }

    private Optional<String> replacement(EndpointRegistration endpoint, long endedMillis) {
        EndpointRegistration now = view().endpoints().getOrDefault(endpoint.id(), endpoint);
        if (!now.start().equals(endpoint.start())) {
            return Optional.of("another start of it is listed");
        }
        return openAttempts.allEndedAt(endpoint.start(), endedMillis)
                ? Optional.of("its other connections broke off at the same moment, and none is left")
                : Optional.empty();
    }

    // -- classes

    /** Records the arrival of a request; only requests for models compete by class. */
    void recordArrival(ClientRequest request, boolean late) {
        if (versions.model(request).isPresent()) {
            classes.arrived(request, late);
        }
    }

    /** Records the size of a request, and returns how large it is among those of its route; empty for plain services. */
    Optional<SizeBand> recordSize(ClientRequest request) {
        Optional<SizeBand> band = versions.model(request)
                .map(model -> recent.arrived(request.route().name(), request.size()));
        band.ifPresent(one -> metrics.countSize(one, "received"));
        return band;
    }

    /** Why no endpoint can serve a request, for the client and the log; counts refusals for placement. */
    String unableReason(ClientRequest request) {
        Optional<String> reason = placement.refusalReason(request);
        reason.ifPresent(ignored -> metrics.placementRefused.inc());
        return reason.orElse("no endpoint can serve");
    }

    /** Records an attempt of a request; only the first one takes a slot from its class. */
    void recordAttempt(ClientRequest request, int number, boolean late) {
        if (number == 1 && versions.model(request).isPresent()) {
            classes.sent(request, late);
            recent.sent(request.route().name(), nowMillis());
        }
    }

    /** Records a refusal for lack of a free slot, and returns the reason for it. */
    String recordRefusedForCapacity(
            ClientRequest request, long millisUntilObjective, int endpoints, Set<String> tried) {
        if (versions.model(request).isEmpty()) {
            return RequestClasses.withoutCapacity(millisUntilObjective <= 0, endpoints);
        }
        recent.refused(request.route().name(), nowMillis());
        return classes.refused(
                request,
                millisUntilObjective <= 0,
                endpoints,
                requestClass -> admission.decide(
                        view().endpointsOf(request.service()),
                        routingRequest(request, millisUntilObjective, tried, requestClass),
                        nowMillis()));
    }

    // -- decisions

    /** Decides how to handle a request, given the time that is left until its objective. */
    Decision decide(ClientRequest request, RequestCauses causes, long millisUntilObjective, Set<String> tried) {
        List<EndpointRegistration> endpoints = view().endpointsOf(request.service());
        return suspects.decide(endpoints, routingRequest(request, millisUntilObjective, tried), causes, nowMillis());
    }

    private RoutingRequest routingRequest(ClientRequest request, long millisUntilObjective, Set<String> tried) {
        RequestClass competing = versions.model(request).isPresent()
                ? classes.competing(request, millisUntilObjective <= 0)
                : request.requestClass();
        return routingRequest(request, millisUntilObjective, tried, competing);
    }

    private RoutingRequest routingRequest(
            ClientRequest request, long millisUntilObjective, Set<String> tried, RequestClass requestClass) {
        return new RoutingRequest(
                expectedSize(request),
                recent.competingPromptTokens(request.route().name(), request.promptTokens(), nowMillis()),
                request.route().objectiveMillis(),
                millisUntilObjective,
                request.deadlineMillis() - nowMillis(),
                versions.model(request),
                versions.minVersion(request),
                versions.newestNamed(request),
                tried,
                placement.allowedRegions(request),
                requestClass);
    }

    /** Whether an endpoint's agent must be queried before the request is sent there. */
    boolean mustQueryAgent(ClientRequest request, EndpointRegistration endpoint) {
        return versions.agentQueryDue(request, endpoint)
                && dependencies.selector().mustQueryAgent(endpoint, routingRequest(request, 0, Set.of()));
    }

    /** Queries an endpoint's agent, and passes on whether the request may be sent to the endpoint. */
    void queryAgent(ClientRequest request, EndpointRegistration endpoint, Consumer<Boolean> callback) {
        dependencies.agentQueries().query(endpoint, inTime -> {
            if (!inTime) {
                load(endpoint).contact().queryTimedOut();
            }
            callback.accept(inTime && canReceive(request, endpoint));
        });
    }

    /** Runs an action once an endpoint's agent has replied or timed out; at once if there is no agent. */
    void awaitAgentReply(ClientRequest request, EndpointRegistration endpoint, Runnable callback) {
        if (load(endpoint).contact().hasAgent()) {
            queryAgent(request, endpoint, ignored -> callback.run());
        } else {
            callback.run();
        }
    }

    /** Whether an endpoint may get the request at all, given current information. */
    boolean canReceive(ClientRequest request, EndpointRegistration endpoint) {
        return dependencies.selector().eligible(endpoint, routingRequest(request, 0, Set.of()), nowMillis());
    }

    // -- for the client and the log

    /**
     * The retry delay for a refused client in milliseconds: if all endpoints asked for a backoff, until the first
     * backoff ends.
     */
    long retryAfterMillis(ClientRequest request) {
        List<EndpointRegistration> endpoints = view().endpointsOf(request.service());
        return dependencies
                .selector()
                .untilBackoffEndsMillis(endpoints, routingRequest(request, 0, Set.of()), nowMillis())
                .orElseGet(() -> retryAfterShortageMillis(request));
    }

    private long retryAfterShortageMillis(ClientRequest request) {
        long usualMillis = AdmissionControl.retryAfterMillis(request.deadlineMillis() - nowMillis());
        return versions.model(request).isPresent() ? classes.retryAfterMillis(request, usualMillis) : usualMillis;
    }

    /** Records that a client is refused and when it is told to retry; returns the retry delay. */
    long recordRefusal(ClientRequest request, long retryAfterMillis) {
        firstAttempts.refused(request.route(), retryAfterMillis, nowMillis());
        return retryAfterMillis;
    }

    /** The version and age of the view that decisions are based on, for the log. */
    String viewAge() {
        View now = view();
        return "manifest=" + now.manifest().map(RouteManifest::version).orElse(-1L) + " offset=" + now.manifestOffset()
                + " knownMsAgo=" + dependencies.manifestAge().loggedMillis(nowMillis());
    }
}
