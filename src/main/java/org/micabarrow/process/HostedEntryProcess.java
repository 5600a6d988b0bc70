package org.micabarrow.process;

import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;
import org.micabarrow.admission.EntryDemand;
import org.micabarrow.admission.SlotGrants;
import org.micabarrow.clock.MonotonicClock;
import org.micabarrow.coordination.admission.RetryBudget;
import org.micabarrow.crashes.CrashRegistry;
import org.micabarrow.memory.HeldBytes;
import org.micabarrow.memory.MemoryLimit;
import org.micabarrow.platform.EndpointHeaders;
import org.micabarrow.platform.RequestHeaders;
import org.micabarrow.process.HostedNode.Paces;
import org.micabarrow.routing.ColdEndpoints;
import org.micabarrow.routing.EndpointSelector;
import org.micabarrow.routing.PlacementFilter;
import org.micabarrow.routing.RouteManifest;
import org.micabarrow.serving.CrashTracking;
import org.micabarrow.serving.ManifestAge;
import org.micabarrow.serving.ServingHandler;
import org.micabarrow.settings.HostedSettings;
import org.micabarrow.transport.Addresses;
import org.micabarrow.transport.HostedPeerServer;
import org.micabarrow.transport.HttpListener;
import org.micabarrow.transport.ListenerProbe;
import org.micabarrow.transport.LoadPoller;
import org.micabarrow.transport.StoreUpdate;
import org.micabarrow.views.ChangeOffsets;
import org.micabarrow.views.DrainTimeBudget;
import org.micabarrow.views.PeerFirstReader;
import org.micabarrow.views.StoreFollower;
import org.micabarrow.views.StoreFollower.PollTiming;
import org.micabarrow.views.VersionPersistence.WriteRole;
import org.micabarrow.weights.VersionMoments;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Entry process on the users' platform: accepts client requests and forwards each directly to an endpoint. */
public final class HostedEntryProcess implements AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(HostedEntryProcess.class);

    /**
     * Long-poll wait for operator records, as a fraction of the time within which a manifest must be in force. It
     * bounds the age of the data of the region's reader entry; the remaining time lets the other entries read the store
     * themselves when the reader becomes silent.
     */
    private static final double OPERATOR_POLL_FRACTION = 0.4;

    /**
     * Long-poll timing for crash records of other entries. A dead connection is detected after this wait plus the
     * response time, together less than the three seconds within which the users expect a process to reconnect.
     */
    private static final PollTiming CRASH_POLL_TIMING = new PollTiming(Duration.ofMillis(2_000), Duration.ZERO);

    /** Upper bound on the number of entries, including spares and restarts; the users' retry slack is divided by it. */
    private static final int MAX_ENTRY_COUNT = 16;

    private static final int UNAVAILABLE = 503;
    private static final int OK = 200;

    private final HostedSettings settings;
    private final HostedNode node;
    private final EndpointSelector selector;
    private final PeerFirstReader reader;
    private final LoadPoller loadPoller;
    private final ServingHandler handler;
    private final CrashSharing crashSharing;
    private volatile Optional<HttpListener> clients = Optional.empty();
    private volatile Optional<StoreFollower> crashFollower = Optional.empty();
    private volatile boolean stopping;

    private HostedEntryProcess(HostedSettings settings) throws IOException {
        this.settings = settings;
        this.node = new HostedNode(settings);
        ColdEndpoints cold = new ColdEndpoints(this::coldPerSecond);
        node.views()
                .onColdRegistration(registration -> cold.stated(
                        registration.start(),
                        registration.coldLeftMillis(),
                        "registration",
                        HostedNode.steadyMillis()));
        node.metrics().registerGauge("endpoints.cold", () -> cold.count(HostedNode.steadyMillis()));
        this.selector = new EndpointSelector(
                settings.instance().region(),
                PlacementFilter.of(settings.regions(), () -> node.views().view().evacuatedHalls()),
                cold);
        HostedSettings.Bounds bounds = settings.bounds();
        this.reader = new PeerFirstReader(
                node.store(),
                node.peerRecords(),
                new PeerFirstReader.Role.Entry(
                        Addresses.numeric(settings.listen().peers()), HostedNode.readerMaxAgeMillis(bounds)),
                HostedNode::steadyMillis);
        this.loadPoller = LoadPoller.open(new LoadPoller.Dependencies(
                settings.instance(),
                settings.listen().peers(),
                settings.regions(),
                settings.peerPort(),
                node.views()::view,
                selector,
                node.worker().getIoThread(),
                HostedNode::steadyMillis,
                this::storeUpdate,
                this::onReaderState,
                this::demand,
                this::applyGrants));
        CrashRegistry crashes = new CrashRegistry(bounds.crashMemoryMillis(), bounds.crashesKept(), this::endpoints);
        this.crashSharing = new CrashSharing(
                node.crashRecords(),
                crashes,
                bounds.crashMemoryMillis(),
                HostedNode::steadyMillis,
                System::currentTimeMillis);
        registerGauges(crashes);
        this.handler = ServingHandler.of(new ServingHandler.Dependencies(
                node.views()::view,
                selector,
                node.fresh(),
                new EndpointHeaders(),
                new RequestHeaders(RandomGenerator.of("L64X128MixRandom")),
                new RetryBudget(bounds.retryShare(), bounds.retrySlack() / MAX_ENTRY_COUNT),
                node.metrics(),
                HostedNode::steadyMillis,
                loadPoller::query,
                versionTimes(bounds.versionMillis()),
                new ManifestAge(node.views()::operatorAsOfMillis, bounds.configurationMillis()),
                new CrashTracking(crashes, new ListenerProbe(node.worker()), crashSharing::publish),
                heldBytes(settings)));
    }

    private void registerGauges(CrashRegistry crashes) {
        node.metrics().registerGauge("load.queriesSent", loadPoller::sentQueries);
        node.metrics().registerGauge("load.repliesReceived", loadPoller::receivedReplies);
        node.metrics().registerGauge("crashes.known", crashes::crashCount);
        node.metrics().registerGauge("crashes.culprits", () -> crashes.refused().size());
    }

    private static HeldBytes heldBytes(HostedSettings settings) {
        return new HeldBytes(MemoryLimit.bytes(Runtime.getRuntime().maxMemory(), settings.memoryMegabytes()));
    }

    private static ServingHandler.VersionTimes versionTimes(long boundMillis) {
        VersionMoments moments = new VersionMoments(boundMillis);
        return new ServingHandler.VersionTimes(moments.queryMillis(), moments.requireMillis(), moments.cancelMillis());
    }

    /**
     * Starts an entry.
     *
     * @param settings its settings
     * @return the running entry
     * @throws IOException if one of its addresses cannot be used
     */
    public static HostedEntryProcess start(HostedSettings settings) throws IOException {
        HostedEntryProcess entry = new HostedEntryProcess(settings);
        entry.run();
        return entry;
    }

    private void run() throws IOException {
        HttpListener.Limits limits = HttpListener.Limits.defaults();
        HostedPeerServer peers = new HostedPeerServer(
                node.views(),
                (model, version) -> Optional.empty(),
                node.metrics(),
                node.weightPacer(this::takesRequests));
        HttpListener.startOnWorker(settings.listen().peers(), limits, node.worker(), peers);
        HttpListener.startOnWorker(settings.listen().metrics(), limits, node.worker(), peers);
        HttpListener.startOnWorker(
                settings.listen().ready().orElseThrow(), limits, node.worker(), this::handleReadiness);
        clients = Optional.of(
                HttpListener.startOnWorker(settings.listen().clients().orElseThrow(), limits, node.worker(), handler));
        // Opens connections only after the listeners, so that none of them occupies a listening port.
        // Agents record weight versions in the store; an entry would only write the same records again.
        node.follow(reader, node.store(), pollTimings(settings.bounds()), this::otherSeeds, () -> WriteRole.NONE);
        node.views().onCrashRecords(crashSharing::apply);
        crashFollower = Optional.of(node.followCrashes(CRASH_POLL_TIMING, this::otherSeeds));
        crashSharing.start();
        loadPoller.start(handler::checkRequests);
        LOG.info(
                "event=started role=entry instance={} countsSuspensions={}",
                settings.instance().id(),
                MonotonicClock.includesSuspendedTime());
    }

    private static Paces pollTimings(HostedSettings.Bounds bounds) {
        return new Paces(
                new PollTiming(fractionOf(bounds.operatorMillis(), OPERATOR_POLL_FRACTION), Duration.ZERO),
                DrainTimeBudget.pollTiming(Duration.ofMillis(bounds.drainMillis())));
    }

    private static Duration fractionOf(long millis, double fraction) {
        return Duration.ofMillis(Math.round(millis * fraction));
    }

    private Optional<StoreUpdate> storeUpdate() {
        String control = settings.listen().peers();
        int port = Integer.parseInt(control.substring(control.lastIndexOf(':') + 1));
        OptionalLong asOf = node.views().operatorAsOfMillis();
        if (asOf.isEmpty()) {
            return Optional.empty();
        }
        long knownMillisAgo = Math.max(0, HostedNode.steadyMillis() - asOf.getAsLong());
        return node.changesInTouch()
                .map(changes -> new StoreUpdate(
                        port,
                        changes,
                        node.isHistoryExamined() ? node.views().newestManifestPosition() : Optional.empty(),
                        knownMillisAgo,
                        reader.readsStoreDirectly()));
    }

    private OptionalDouble coldPerSecond(String service) {
        return node.views()
                .view()
                .manifest()
                .flatMap(manifest -> manifest.service(service))
                .map(RouteManifest.Service::coldPerSecond)
                .orElse(OptionalDouble.empty());
    }

    private EntryDemand demand() {
        return handler.demand();
    }

    private void applyGrants(SlotGrants grants) {
        handler.granted(grants);
    }

    /** Handles the state of the region's reader entry, as relayed by an agent. */
    private void onReaderState(StoreUpdate.ReaderState state) {
        reader.onUpdate(state.peer(), new ChangeOffsets(state.operatorOffset(), 0), state.asOfMillis());
        // Where the reader has seen no operator record that this entry lacks, its confirmation time applies here as
        // well.
        node.views().confirmOperator(state.operatorOffset(), state.asOfMillis());
    }

    /**
     * Returns the number of requests in flight.
     *
     * @return their number
     */
    public int open() {
        return handler.connections().inFlightCount();
    }

    /**
     * Returns whether the entry accepts requests.
     *
     * @return true once it has a manifest, has read the crash records of other entries and has heard from agents, until it
     *     stops
     */
    public boolean takesRequests() {
        return !stopping
                && node.views().view().manifest().isPresent()
                && loadPoller.hasFirstReplies()
                && crashFollower.filter(StoreFollower::isInitialized).isPresent();
    }

    /**
     * Returns the number of known endpoints.
     *
     * @return their number
     */
    public int endpoints() {
        return node.views().view().endpoints().size();
    }

    private List<String> otherSeeds() {
        return settings.seeds().stream()
                .filter(seed -> !seed.equals(settings.listen().peers()))
                .toList();
    }

    private void handleReadiness(HttpServerExchange exchange) {
        exchange.setStatusCode(takesRequests() ? OK : UNAVAILABLE);
        exchange.endExchange();
    }

    /** Stops accepting connections once the platform has noticed, and terminates when no request is in flight. */
    @Override
    public void close() throws InterruptedException {
        stopping = true;
        new EntryStop(
                        handler,
                        () -> clients.ifPresent(HttpListener::close),
                        node.worker().getIoThread())
                .within(settings.bounds().graceMillis());
    }
}
