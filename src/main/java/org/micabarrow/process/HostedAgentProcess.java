package org.micabarrow.process;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.stream.Stream;
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

/** An agent on the users' platform: keeps the endpoint beside it at the weight version that is wanted. */
public final class HostedAgentProcess implements AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(HostedAgentProcess.class);

    /** The pause between reads of endpoints' entries: agents only need them to know each other. */
    private static final Duration ENDPOINTS_REST = Duration.ofSeconds(3);

    /** How often the endpoint beside the agent is asked for its report, in milliseconds; it answers its own for free. */
    private static final long REPORT_MILLIS = 150;

    /** How often the agent looks whether there is something to fetch or to order, in milliseconds: a chunk's time. */
    private static final long LOOK_MILLIS = 50;

    /** How often it looks for something to order or to stop while the endpoint serves the newest version, in milliseconds. */
    private static final long SETTLED_LOOK_MILLIS = 150;

    /**
     * How often the agent looks whether the endpoint holds a version that other agents cannot have from it, in milliseconds. It
     * asks the origin and other agents for the version's digests then, which takes seconds if they do not answer.
     */
    private static final long READ_BACK_MILLIS = 300;

    /**
     * From when on a pause counts as a standstill, in milliseconds: the shortest for which entries bear an agent's silence. A
     * process that only waits for its turn pauses for less.
     */
    private static final long STANDSTILL_MILLIS = 400;

    /** How often the agent looks for standstills, in milliseconds. */
    private static final long STANDSTILL_LOOK_MILLIS = 200;

    /** How many agents of each region keep named weight versions in the store: one may be cut off from it. */
    private static final int VERSION_KEEPERS = 2;

    /** How many agents of each region do so or stand in for those: their whole instances may be lost together. */
    private static final int KEEPERS_AND_STAND_INS = 4;

    private final HostedSettings settings;
    private final HostedNode node;
    private final PeerFirstReader news;
    private final ReplicaController keeper;
    private final Agent self;
    private volatile Optional<LoadServer> loadServer = Optional.empty();
    private volatile Placed placed = new Placed(View.empty(), new ReplicaController.RegionPosition(0, 1));

    /** Tells entries: a datagram waits while a narrow link is full, and what stops the endpoint in time must not. */
    private final NudgedThread teller = NudgedThread.start("teller", () -> loadServer.ifPresent(LoadServer::sendToAll));

    private HostedAgentProcess(HostedSettings settings) throws IOException {
        this.settings = settings;
        this.node = new HostedNode(settings);
        this.news = new PeerFirstReader(
                node.store(), node.peerRecords(), new PeerFirstReader.Role.Agent(), HostedNode::steadyMillis);
        this.self = new Agent(settings.listen().peers(), settings.instance().region());
        ChunkFetcher fetcher = new ChunkFetcher(new ChunkFetcher.Dependencies(
                new PeerChunkClient(node.kept()),
                new OriginCalls(node.fresh()),
                () -> view().manifest().flatMap(RouteManifest::origin),
                ChunkSources.cached(self, this::agents),
                node.weightPacer(this::serves)::acquire,
                HostedNode::steadyMillis));
        this.keeper = new ReplicaController(new ReplicaController.Dependencies(
                this::model,
                this::layers,
                new EndpointCalls(node.kept(), settings.endpoint().orElseThrow(), this::layers),
                fetcher,
                this::view,
                this::place,
                this::tellEntries,
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
        agent.begin();
        return agent;
    }

    private void begin() throws IOException {
        HostedPeerServer peers =
                new HostedPeerServer(node.views(), keeper::chunkSet, node.metrics(), node.weightPacer(this::serves));
        HttpListener.Limits usual = HttpListener.Limits.defaults();
        HttpListener.startOnWorker(settings.listen().peers(), usual, node.worker(), peers);
        HttpListener.startOnWorker(settings.listen().metrics(), usual, node.worker(), peers);
        loadServer = Optional.of(LoadServer.start(
                settings.listen().peers(),
                this::told,
                HostedNode::steadyMillis,
                this::heard,
                HostedNode.readerTrustMillis(settings.bounds())));
        // After the listeners, so that no connection of our own takes one of their ports.
        Paces paces = new Paces(
                new PollTiming(HostedNode.STORE_WAIT, Duration.ZERO),
                new PollTiming(HostedNode.STORE_WAIT, ENDPOINTS_REST));
        node.follow(news, news, paces, settings::seeds, this::duty);
        node.metrics().registerGauge("weights.secondsNotRetired", keeper::secondsNotRetired);
        node.metrics().registerGauge("weights.stopBeforeBoundMillis", keeper::lastStopBeforeBoundMillis);
        RepeatedTasks.start("report", REPORT_MILLIS, new Reports());
        RepeatedTasks.start("fetch", LOOK_MILLIS, keeper::fetch);
        RepeatedTasks.start("replica", this::replicaMillis, keeper::step);
        RepeatedTasks.start("read-back", READ_BACK_MILLIS, keeper::readBack);
        RepeatedTasks.start("standstill", STANDSTILL_LOOK_MILLIS, new StandstillWatch());
        LOG.info(
                "event=started role=agent instance={} countsSuspensions={}",
                settings.instance().id(),
                MonotonicClock.includesSuspendedTime());
    }

    /**
     * Asks the endpoint how it is, and tells entries at once when it takes requests again, or no more. Asked by an entry of
     * another region only every 450 ms, it would stand idle for half of that after each change of versions.
     */
    private final class Reports implements RepeatedTasks.Task {

        private Optional<Serving> toldLast = Optional.empty();

        private record Serving(boolean loading, boolean leaving, long version, OptionalInt start) {}

        @Override
        public void run() {
            keeper.refresh();
            keeper.report()
                    .ifPresent(report -> loadServer.ifPresent(
                            server -> server.limitRelay().reported(report.rateLimit(), HostedNode.steadyMillis())));
            Optional<Serving> now =
                    told().map(told -> new Serving(told.loading(), told.draining(), told.version(), told.start()));
            if (!now.equals(toldLast)) {
                toldLast = now;
                tellEntries();
            }
        }
    }

    /** Says that the instance stood still, so that what entries and endpoints tell of that time can be explained. */
    private final class StandstillWatch implements RepeatedTasks.Task {

        private long lastMillis = HostedNode.steadyMillis();

        @Override
        public void run() {
            long now = HostedNode.steadyMillis();
            long stood = now - lastMillis - STANDSTILL_LOOK_MILLIS;
            lastMillis = now;
            if (stood >= STANDSTILL_MILLIS) {
                LOG.warn(
                        "event=stood_still ms={} endpoint={}",
                        stood,
                        settings.endpoint().orElse("-"));
            }
        }
    }

    /** An entry told where the last changes in the store stand. */
    private void heard(String entry, StoreUpdate told) {
        news.onUpdate(entry, told.changes(), HostedNode.steadyMillis() - told.knownMillisAgo());
        // A place beyond all that the entry has read would be kept for good, and be lacking everywhere.
        told.manifest()
                .filter(place -> place.offset() < told.changes().operator())
                .ifPresent(node.views()::recordManifestPosition);
    }

    /** A version that is named is fetched at once, since the origin may go away; what follows takes seconds to come about. */
    private long replicaMillis() {
        return keeper.isUpToDate() ? SETTLED_LOOK_MILLIS : LOOK_MILLIS;
    }

    /** What entries are told of the endpoint; while it does not answer, nothing is said. */
    private Optional<LoadReport> told() {
        return keeper.report()
                .map(report -> new LoadReport(
                        report.requests(),
                        0,
                        report.busy() || keeper.isCordoned(),
                        model().map(model -> report.models().getOrDefault(model, 0L))
                                .orElse(0L),
                        freePlaces(report),
                        EndpointStart.token(report.startedMillis()),
                        report.draining(),
                        Optional.of(report.condition())));
    }

    /** The places that may be dealt out; any number while the manifest, which says how many there are, is not known. */
    private int freePlaces(ModelEndpoint.Report report) {
        return modelService()
                .map(service -> SlotAllotment.allottable(service.slots(), report.requests()))
                .orElse(LoadReport.UNLIMITED_SLOTS);
    }

    private boolean serves() {
        return keeper.mayHaveRequests();
    }

    private void tellEntries() {
        teller.nudge();
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

    /** The agents beside all endpoints of this agent's service; they listen at the same port on every instance. */
    private List<Agent> agents() {
        return agents(view());
    }

    private List<Agent> agents(View now) {
        return Agent.besideEndpoints(
                now.endpointsOf(settings.service().orElse("")), settings.peerPort(), settings.regions());
    }

    /** The place in a view. It is asked for twice a second and more, and views change when an endpoint does. */
    private record Placed(View view, ReplicaController.RegionPosition place) {}

    private ReplicaController.RegionPosition place() {
        View now = view();
        Placed known = placed;
        if (known.view() != now) {
            known = new Placed(now, place(now));
            placed = known;
        }
        return known.place();
    }

    private ReplicaController.RegionPosition place(View now) {
        List<String> region = Stream.concat(agents(now).stream(), Stream.of(self))
                .filter(agent -> agent.region().equals(self.region()))
                .map(Agent::address)
                .distinct()
                .sorted()
                .toList();
        return new ReplicaController.RegionPosition(region.indexOf(self.address()), region.size());
    }

    private WriteRole duty() {
        int position = place().index();
        if (position < VERSION_KEEPERS) {
            return WriteRole.PRIMARY;
        }
        return position < KEEPERS_AND_STAND_INS ? WriteRole.BACKUP : WriteRole.NONE;
    }

    @Override
    public void close() {
        LOG.info("event=stopped");
    }
}
