package org.micabarrow.process;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.stream.Stream;
import org.micabarrow.admission.ClassAllotment;
import org.micabarrow.admission.SlotAllotment;
import org.micabarrow.clock.MonotonicClock;
import org.micabarrow.platform.EndpointCalls;
import org.micabarrow.platform.OriginCalls;
import org.micabarrow.process.HostedNode.Paces;
import org.micabarrow.routing.EndpointStart;
import org.micabarrow.routing.LoadReport;
import org.micabarrow.routing.ModelProfile;
import org.micabarrow.routing.RouteManifest;
import org.micabarrow.settings.HostedSettings;
import org.micabarrow.steps.RepeatedTasks;
import org.micabarrow.transport.HostedPeerServer;
import org.micabarrow.transport.HttpListener;
import org.micabarrow.transport.LoadServer;
import org.micabarrow.transport.PeerChunkClient;
import org.micabarrow.transport.StoreUpdate;
import org.micabarrow.views.PeerFirstReader;
import org.micabarrow.views.StoreFollower.PollTiming;
import org.micabarrow.views.VersionPersistence.WriteRole;
import org.micabarrow.views.View;
import org.micabarrow.weights.ChunkFetcher;
import org.micabarrow.weights.ChunkSources;
import org.micabarrow.weights.ChunkSources.Agent;
import org.micabarrow.weights.ModelEndpoint;
import org.micabarrow.weights.ReplicaController;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Agent process on the users' platform: keeps the endpoint on its instance at the desired weight version. */
public final class HostedAgentProcess implements AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(HostedAgentProcess.class);

    /** Pause between reads of endpoint registrations, which agents need only to discover each other. */
    private static final Duration ENDPOINT_POLL_PAUSE = Duration.ofSeconds(3);

    /**
     * Interval at which the endpoint's report is requested, in milliseconds; reports to its own agent cost the endpoint
     * nothing.
     */
    private static final long REPORT_INTERVAL_MILLIS = 150;

    /**
     * Interval between checks for chunks to fetch or orders to send, in milliseconds; about the transfer time of a
     * chunk.
     */
    private static final long ACTIVE_INTERVAL_MILLIS = 50;

    /** Interval between checks for orders or stops while the endpoint serves the newest version, in milliseconds. */
    private static final long IDLE_INTERVAL_MILLIS = 150;

    /**
     * Interval between checks whether the endpoint holds a version that other agents cannot fetch from this one, in
     * milliseconds. A check that finds one requests the version's digests from the origin and other agents, which takes
     * seconds if they do not answer.
     */
    private static final long READ_BACK_INTERVAL_MILLIS = 300;

    /**
     * Number of agents per region that record published weight versions in the store; one may be disconnected from it.
     */
    private static final int PRIMARY_WRITERS = 2;

    /** Number of agents per region that record versions or act as backups; several instances may be lost together. */
    private static final int PRIMARY_AND_BACKUP_WRITERS = 4;

    private final HostedSettings settings;
    private final HostedNode node;
    private final PeerFirstReader reader;
    private final ReplicaController replica;
    private final Agent self;
    private volatile Optional<LoadServer> loadServer = Optional.empty();
    private volatile KnownAgents knownAgents = new KnownAgents(View.empty(), List.of());
    private volatile CachedPosition cachedPosition =
            new CachedPosition(View.empty(), new ReplicaController.RegionPosition(0, 1));

    /**
     * Sends load reports to entries on its own thread: a datagram blocks while a slow link is saturated, and stopping
     * the endpoint in time must not wait for that.
     */
    private final SignalledThread loadSender =
            SignalledThread.start("teller", () -> loadServer.ifPresent(LoadServer::sendToAll));

    private HostedAgentProcess(HostedSettings settings) throws IOException {
        this.settings = settings;
        this.node = new HostedNode(settings);
        this.reader = new PeerFirstReader(
                node.store(), node.peerRecords(), new PeerFirstReader.Role.Agent(), HostedNode::steadyMillis);
        this.self = new Agent(settings.listen().peers(), settings.instance().region());
        ChunkFetcher fetcher = new ChunkFetcher(new ChunkFetcher.Dependencies(
                new PeerChunkClient(node.kept()),
                new OriginCalls(node.fresh()),
                () -> view().manifest().flatMap(RouteManifest::origin),
                ChunkSources.cached(self, this::agents),
                node.weightPacer(this::mayServe)::acquire,
                HostedNode::steadyMillis));
        this.replica = new ReplicaController(new ReplicaController.Dependencies(
                this::model,
                this::layers,
                new EndpointCalls(node.kept(), settings.endpoint().orElseThrow(), this::layers),
                fetcher,
                this::view,
                this::regionPosition,
                this::sendLoadToEntries,
                settings.bounds().versionMillis(),
                HostedNode::steadyMillis));
    }

    /**
     * Starts an agent.
     *
     * @param settings its settings
     * @return the running agent
     * @throws IOException if one of its addresses cannot be used
     */
    public static HostedAgentProcess start(HostedSettings settings) throws IOException {
        HostedAgentProcess agent = new HostedAgentProcess(settings);
        agent.run();
        return agent;
    }

    private void run() throws IOException {
        HostedPeerServer peers =
                new HostedPeerServer(node.views(), replica::chunkSet, node.metrics(), node.weightPacer(this::mayServe));
        HttpListener.Limits limits = HttpListener.Limits.defaults();
        HttpListener.startOnWorker(settings.listen().peers(), limits, node.worker(), peers);
        HttpListener.startOnWorker(settings.listen().metrics(), limits, node.worker(), peers);
        loadServer = Optional.of(LoadServer.start(
                settings.listen().peers(),
                this::loadReport,
                this::pool,
                HostedNode::steadyMillis,
                this::onStoreUpdate,
                HostedNode.readerMaxAgeMillis(settings.bounds())));
        // Opens connections only after the listeners, so that none of them occupies a listening port.
        Paces pollTimings = new Paces(
                new PollTiming(HostedNode.STORE_WAIT, Duration.ZERO),
                new PollTiming(HostedNode.STORE_WAIT, ENDPOINT_POLL_PAUSE));
        node.follow(reader, reader, pollTimings, settings::seeds, this::writeRole);
        LoadServer server = loadServer.orElseThrow();
        node.metrics().registerGauge("load.queriesReceived", server::receivedQueries);
        node.metrics().registerGauge("load.repliesSent", server::sentReplies);
        node.metrics().registerGauge("weights.secondsNotRetired", replica::secondsNotRetired);
        node.metrics().registerGauge("weights.stopBeforeBoundMillis", replica::lastStopBeforeBoundMillis);
        RepeatedTasks.start("report", REPORT_INTERVAL_MILLIS, new ReportTask());
        RepeatedTasks.start("fetch", ACTIVE_INTERVAL_MILLIS, replica::fetch);
        RepeatedTasks.start("replica", this::replicaIntervalMillis, replica::step);
        RepeatedTasks.start("read-back", READ_BACK_INTERVAL_MILLIS, replica::readBack);
        LOG.info(
                "event=started role=agent instance={} countsSuspensions={}",
                settings.instance().id(),
                MonotonicClock.includesSuspendedTime());
    }

    /**
     * Polls the endpoint's report and notifies entries immediately when the endpoint starts or stops accepting
     * requests. Entries of other regions poll only every 450 ms; without the notification, the endpoint would be idle
     * for half of that on average after each version change.
     */
    private final class ReportTask implements RepeatedTasks.Task {

        private Optional<ServingState> lastSent = Optional.empty();

        private record ServingState(boolean loading, boolean draining, long version, OptionalInt start) {}

        @Override
        public void run() {
            replica.refresh();
            replica.report()
                    .ifPresent(report -> loadServer.ifPresent(
                            server -> server.limitRelay().reported(report.rateLimit(), HostedNode.steadyMillis())));
            Optional<ServingState> now = loadReport()
                    .map(report ->
                            new ServingState(report.loading(), report.draining(), report.version(), report.start()));
            if (!now.equals(lastSent)) {
                lastSent = now;
                sendLoadToEntries();
            }
        }
    }

    /** Handles the newest store offsets that an entry announced. */
    private void onStoreUpdate(String entry, StoreUpdate update, OptionalLong asOfMillis) {
        asOfMillis.ifPresent(asOf -> {
            reader.onUpdate(entry, update.changes(), asOf);
            // Where the entry knows of no weight version that this agent lacks, none was named until then.
            node.views().confirmTargets(update.changes().weights(), asOf);
        });
        // A position beyond the records that the entry has read would be recorded permanently although no process
        // has read a record there.
        update.manifest()
                .filter(position -> position.offset() < update.changes().operator())
                .ifPresent(position -> {
                    node.views().recordManifestPosition(position);
                    node.views()
                            .recordReadTo(
                                    update.changes().weights(), update.changes().operator());
                });
    }

    /**
     * Returns the interval between replica steps: longer once the endpoint is up to date. Published versions are
     * fetched immediately by a separate task, since the origin may become unavailable; later steps take seconds to
     * become due.
     */
    private long replicaIntervalMillis() {
        return replica.isUpToDate() ? IDLE_INTERVAL_MILLIS : ACTIVE_INTERVAL_MILLIS;
    }

    /** Returns the load report for entries; empty while the endpoint does not answer. */
    private Optional<LoadReport> loadReport() {
        return replica.report()
                .map(report -> new LoadReport(
                        report.requests(),
                        0,
                        report.busy() || replica.isCordoned(),
                        model().map(model -> report.models().getOrDefault(model, 0L))
                                .orElse(0L),
                        allottableSlots(report),
                        EndpointStart.token(report.startedMillis()),
                        report.draining(),
                        Optional.of(report.condition())));
    }

    /**
     * Returns the slots that may be granted, limited by the endpoint's memory. Unlimited until the manifest, which
     * states the number of slots, is known.
     */
    private int allottableSlots(ModelEndpoint.Report report) {
        return modelService()
                .map(service -> Math.min(
                        SlotAllotment.allottable(service.slots(), report.requests()),
                        report.condition().requestsThatFit()))
                .orElse(LoadReport.UNLIMITED_SLOTS);
    }

    /** Returns the slots per endpoint and the number of endpoints that share the requests of this agent's service. */
    private ClassAllotment.Pool pool() {
        long endpoints = view().endpoints().values().stream()
                .filter(one -> settings.service().filter(one.service()::equals).isPresent())
                .count();
        return new ClassAllotment.Pool(modelService().map(ModelProfile::slots).orElse(1), (int) endpoints);
    }

    private boolean mayServe() {
        return replica.mayHaveRequests();
    }

    private void sendLoadToEntries() {
        loadSender.signal();
    }

    private View view() {
        return node.views().view();
    }

    private Optional<ModelProfile> modelService() {
        return view().manifest()
                .flatMap(manifest -> manifest.service(settings.service().orElse("")))
                .flatMap(RouteManifest.Service::model);
    }

    private Optional<String> model() {
        return modelService().map(ModelProfile::model);
    }

    private int layers() {
        return modelService().map(ModelProfile::layers).orElse(0);
    }

    /** Caches the agents of a view, which are looked up many times per second while a version is fetched. */
    private record KnownAgents(View view, List<Agent> agents) {}

    /** Returns the agents of all endpoints of this agent's service; they listen on the same port on every instance. */
    private List<Agent> agents() {
        View currentView = view();
        KnownAgents cached = knownAgents;
        if (cached.view() != currentView) {
            cached = new KnownAgents(currentView, agents(currentView));
            knownAgents = cached;
        }
        return cached.agents();
    }

    private List<Agent> agents(View currentView) {
        return Agent.besideEndpoints(
                currentView.endpointsOf(settings.service().orElse("")), settings.peerPort(), settings.regions());
    }

    /**
     * Caches the region position for a view. It is needed at least twice per second, whereas views change only when an
     * endpoint does.
     */
    private record CachedPosition(View view, ReplicaController.RegionPosition position) {}

    private ReplicaController.RegionPosition regionPosition() {
        View currentView = view();
        CachedPosition cached = cachedPosition;
        if (cached.view() != currentView) {
            cached = new CachedPosition(currentView, regionPosition(currentView));
            cachedPosition = cached;
        }
        return cached.position();
    }

    private ReplicaController.RegionPosition regionPosition(View currentView) {
        List<String> region = Stream.concat(agents(currentView).stream(), Stream.of(self))
                .filter(agent -> agent.region().equals(self.region()))
                .map(Agent::address)
                .distinct()
                .sorted()
                .toList();
        return new ReplicaController.RegionPosition(region.indexOf(self.address()), region.size());
    }

    private WriteRole writeRole() {
        int position = regionPosition().index();
        if (position < PRIMARY_WRITERS) {
            return WriteRole.PRIMARY;
        }
        return position < PRIMARY_AND_BACKUP_WRITERS ? WriteRole.BACKUP : WriteRole.NONE;
    }

    @Override
    public void close() {
        LOG.info("event=stopped");
    }
}
