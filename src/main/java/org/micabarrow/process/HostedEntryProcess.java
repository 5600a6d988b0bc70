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
import org.micabarrow.views.Topic;
import org.micabarrow.views.VersionPersistence.WriteRole;
import org.micabarrow.weights.VersionMoments;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** An entry on the users' platform: takes clients' requests and passes each straight to an endpoint. */
public final class HostedEntryProcess implements AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(HostedEntryProcess.class);

    /**
     * How long the store may hold a read of what operators wrote, as a part of the time in which a manifest must be in force: what
     * the entry that reads for its region knows is as old as that at most, and the others must still have time to read the store
     * themselves when it falls silent.
     */
    private static final double OPERATOR_HOLD_PART = 0.4;

    /**
     * How long the store may hold a read of what other entries noticed of crashes: a connection that fell silent shows after this and
     * the answer's own time, together under the three seconds in which the users expect a process to be in touch again.
     */
    private static final PollTiming CRASHES_PACE = new PollTiming(Duration.ofMillis(2_000), Duration.ZERO);

    /** Among how many entries the users' slack for repeats is divided: more than there are, spares and restarts included. */
    private static final int ENTRIES_AT_MOST = 16;

    private static final int UNAVAILABLE = 503;
    private static final int OK = 200;

    private final HostedSettings settings;
    private final HostedNode node;
    private final EndpointSelector choice;
    private final PeerFirstReader reader;
    private final LoadPoller loadFeed;
    private final ServingHandler handler;
    private final CrashSharing crashes;
    private volatile Optional<HttpListener> clients = Optional.empty();
    private volatile Optional<StoreFollower> crashNews = Optional.empty();
    private volatile boolean leaving;

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
        this.choice = new EndpointSelector(
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
        this.loadFeed = LoadPoller.open(new LoadPoller.Dependencies(
                settings.instance(),
                settings.listen().peers(),
                settings.regions(),
                settings.peerPort(),
                node.views()::view,
                choice,
                node.worker().getIoThread(),
                HostedNode::steadyMillis,
                this::news,
                this::heard,
                this::demand,
                this::granted));
        CrashRegistry book = new CrashRegistry(bounds.crashMemoryMillis(), bounds.crashesKept(), this::endpoints);
        this.crashes = new CrashSharing(
                node.crashRecords(),
                book,
                bounds.crashMemoryMillis(),
                HostedNode::steadyMillis,
                System::currentTimeMillis);
        registerGauges(book);
        this.handler = ServingHandler.of(new ServingHandler.Dependencies(
                node.views()::view,
                choice,
                node.fresh(),
                new EndpointHeaders(),
                new RequestHeaders(RandomGenerator.of("L64X128MixRandom")),
                new RetryBudget(bounds.retryShare(), bounds.retrySlack() / ENTRIES_AT_MOST),
                node.metrics(),
                HostedNode::steadyMillis,
                loadFeed::query,
                versionTimes(bounds.versionMillis()),
                new ManifestAge(node.views()::operatorAsOfMillis, bounds.configurationMillis()),
                new CrashTracking(book, new ListenerProbe(node.worker()), crashes::publish),
                heldBytes(settings)));
    }

    private void registerGauges(CrashRegistry book) {
        node.metrics().registerGauge("load.queriesSent", loadFeed::sentQueries);
        node.metrics().registerGauge("load.repliesReceived", loadFeed::receivedReplies);
        node.metrics().registerGauge("crashes.known", book::crashCount);
        node.metrics().registerGauge("crashes.culprits", () -> book.refused().size());
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
        entry.begin();
        return entry;
    }

    private void begin() throws IOException {
        HttpListener.Limits usual = HttpListener.Limits.defaults();
        HostedPeerServer peers = new HostedPeerServer(
                node.views(),
                (model, version) -> Optional.empty(),
                node.metrics(),
                node.weightPacer(this::takesRequests));
        HttpListener.startOnWorker(settings.listen().peers(), usual, node.worker(), peers);
        HttpListener.startOnWorker(settings.listen().metrics(), usual, node.worker(), peers);
        HttpListener.startOnWorker(settings.listen().ready().orElseThrow(), usual, node.worker(), this::ready);
        clients = Optional.of(
                HttpListener.startOnWorker(settings.listen().clients().orElseThrow(), usual, node.worker(), handler));
        // After the listeners, so that no connection of our own takes one of their ports.
        // Agents keep the versions: an entry would write what they know as well.
        node.follow(reader, node.store(), paces(settings.bounds()), this::peers, () -> WriteRole.NONE);
        node.views().onCrashRecords(crashes::apply);
        crashNews = Optional.of(node.followCrashes(CRASHES_PACE, this::peers));
        crashes.start();
        loadFeed.start(handler::checkRequests);
        LOG.info(
                "event=started role=entry instance={} countsSuspensions={}",
                settings.instance().id(),
                MonotonicClock.includesSuspendedTime());
    }

    private static Paces paces(HostedSettings.Bounds bounds) {
        return new Paces(
                new PollTiming(part(bounds.operatorMillis(), OPERATOR_HOLD_PART), Duration.ZERO),
                DrainTimeBudget.pollTiming(Duration.ofMillis(bounds.drainMillis())));
    }

    private static Duration part(long millis, double part) {
        return Duration.ofMillis(Math.round(millis * part));
    }

    private Optional<StoreUpdate> news() {
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
                        node.views().newestManifestPosition(),
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

    private void granted(SlotGrants grants) {
        handler.granted(grants);
    }

    /** An agent told of the entry that reads the store for the region. */
    private void heard(StoreUpdate.ReaderState told) {
        reader.onUpdate(told.peer(), new ChangeOffsets(told.operatorOffset(), 0), told.asOfMillis());
        if (node.views().end(Topic.OPERATOR) >= told.operatorOffset()) {
            // It knows of nothing that is not known here.
            node.views().confirmOperator(told.asOfMillis());
        }
    }

    /**
     * The requests that are open.
     *
     * @return their number
     */
    public int open() {
        return handler.connections().inFlightCount();
    }

    /**
     * Whether the entry takes requests.
     *
     * @return true once it knows a manifest, has asked for the crashes that others noticed and has asked agents, until it stops
     */
    public boolean takesRequests() {
        return !leaving
                && node.views().view().manifest().isPresent()
                && loadFeed.repliesDue()
                && crashNews.filter(StoreFollower::isInitialized).isPresent();
    }

    /**
     * The endpoints that the entry knows.
     *
     * @return their number
     */
    public int endpoints() {
        return node.views().view().endpoints().size();
    }

    private List<String> peers() {
        return settings.seeds().stream()
                .filter(seed -> !seed.equals(settings.listen().peers()))
                .toList();
    }

    private void ready(HttpServerExchange exchange) {
        exchange.setStatusCode(takesRequests() ? OK : UNAVAILABLE);
        exchange.endExchange();
    }

    /** Takes no new connections once the platform has noticed, and ends when no request is open. */
    @Override
    public void close() throws InterruptedException {
        leaving = true;
        new EntryStop(
                        handler,
                        () -> clients.ifPresent(HttpListener::close),
                        node.worker().getIoThread())
                .within(settings.bounds().graceMillis());
    }
}
