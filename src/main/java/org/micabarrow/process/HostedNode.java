package org.micabarrow.process;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.micabarrow.clock.MonotonicClock;
import org.micabarrow.clock.PauseMonitor;
import org.micabarrow.platform.CrashRecords;
import org.micabarrow.platform.OriginCalls;
import org.micabarrow.platform.StoreClient;
import org.micabarrow.platform.StoreRecords;
import org.micabarrow.platform.VersionRecords;
import org.micabarrow.routing.RouteManifest;
import org.micabarrow.settings.HostedSettings;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Result;
import org.micabarrow.steps.RepeatedTasks;
import org.micabarrow.transport.HttpClient;
import org.micabarrow.transport.LinkPacer;
import org.micabarrow.transport.PeerRecordClient;
import org.micabarrow.views.ChangeOffsets;
import org.micabarrow.views.DrainTimeBudget;
import org.micabarrow.views.NamingTime;
import org.micabarrow.views.PeerFirstReader;
import org.micabarrow.views.StoreFollower;
import org.micabarrow.views.StoreFollower.PollTiming;
import org.micabarrow.views.Topic;
import org.micabarrow.views.TopicReader;
import org.micabarrow.views.TopicReader.Batch;
import org.micabarrow.views.VersionPersistence;
import org.micabarrow.views.VersionPersistence.WriteRole;
import org.micabarrow.views.ViewMaintainer;
import org.micabarrow.weights.OriginVersions;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioWorker;

/** The parts that entries and agents on the users' platform have in common: the view of the store, clients and threads. */
final class HostedNode {

    private static final Logger LOG = LoggerFactory.getLogger(HostedNode.class);

    /** The number of connections kept per destination: one for each of the two topics and a few for peers. */
    private static final int KEPT_CONNECTIONS = 8;

    /**
     * How long the store may delay its answer to a read that finds nothing. A lost answer is noticed after this time plus the
     * response timeout, together well below the three seconds within which a process must have contact again.
     */
    static final Duration STORE_WAIT = Duration.ofMillis(1_500);

    /** The fraction of the link that weights may use if nothing else does; packet headers take the rest. */
    private static final double WEIGHTS_ONLY_FRACTION = 0.96;

    /**
     * The fraction of the link that weights may use beside requests. Requests and responses take about 0.04 of it (six per second of
     * about 3 KB each); with more than twice that left to them, their queue does not grow.
     */
    private static final double WEIGHTS_BESIDE_REQUESTS_FRACTION = 0.85;

    /**
     * The age up to which other entries may rely on what the region's reader knows, as a fraction of the time within which a manifest
     * must be in force: the store's delay of a read, three load queries (0.45 s) and a round trip. The rest is for the entry's own
     * read.
     */
    private static final double READER_MAX_AGE_FRACTION = 0.75;

    /** The interval at which this process records that it runs, in milliseconds. */
    private static final long PAUSE_CHECK_INTERVAL_MILLIS = 50;

    /**
     * The shortest pause of the process that is logged, in milliseconds: the shortest silence of an agent that entries
     * tolerate. Ordinary scheduling delays are shorter.
     */
    private static final long MIN_REPORTED_PAUSE_MILLIS = 400;

    private final HostedSettings settings;
    private final PauseMonitor pauses = new PauseMonitor(NamingTime.MAX_DELIVERY_MILLIS, steadyMillis());
    private final MetricRegistry metrics = new MetricRegistry();
    private final XnioWorker worker;
    private final HttpClient kept;
    private final HttpClient fresh;
    private final ViewMaintainer views;
    private final PeerRecordClient peerRecords;
    private final StoreClient store;
    private volatile Optional<VersionPersistence> operatorPersistence = Optional.empty();
    private volatile List<StoreFollower> followers = List.of();
    private final PeerRotation rotation = new PeerRotation();

    /** How often topics are read. */
    record Paces(PollTiming operator, PollTiming endpoints) {}

    HostedNode(HostedSettings settings) throws IOException {
        this.settings = settings;
        this.worker = HttpClient.worker("traffic", 1);
        this.kept = HttpClient.onWorker(worker, KEPT_CONNECTIONS);
        this.fresh = HttpClient.onWorker(worker, 0);
        this.views = new ViewMaintainer(
                new StoreRecords(), HostedNode::steadyMillis, settings.regions().keySet());
        this.peerRecords = new PeerRecordClient(kept, HostedNode::steadyMillis);
        this.store = new StoreClient(
                kept,
                settings.store(),
                DrainTimeBudget.STORE_RESPONSE_TIMEOUT,
                HostedNode::steadyMillis,
                pauses::attentiveUntil);
        metrics.registerGauge(
                "process.heapBytes",
                () -> ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed());
        metrics.registerGauge(
                "view.manifest",
                () -> views.view().manifest().map(one -> one.version()).orElse(-1L));
        metrics.registerGauge(
                "view.evacuatedHalls", () -> views.view().evacuatedHalls().size());
        metrics.registerGauge("view.endpoints", () -> views.view().endpoints().size());
    }

    /** The monotonic clock, which includes suspended time, in milliseconds. */
    static long steadyMillis() {
        return MonotonicClock.millis();
    }

    /** The age up to which other entries may rely on what the region's reader knows, in milliseconds. */
    static long readerMaxAgeMillis(HostedSettings.Bounds bounds) {
        return Math.round(bounds.operatorMillis() * READER_MAX_AGE_FRACTION);
    }

    MetricRegistry metrics() {
        return metrics;
    }

    XnioWorker worker() {
        return worker;
    }

    /** The client that reuses connections. */
    HttpClient kept() {
        return kept;
    }

    /** The client that opens a connection for each request. */
    HttpClient fresh() {
        return fresh;
    }

    ViewMaintainer views() {
        return views;
    }

    /**
     * Limits how much of the instance's link weights use, in either direction.
     *
     * @param requests whether requests use the link at the moment
     */
    LinkPacer weightPacer(BooleanSupplier requests) {
        return new LinkPacer(
                settings.linkBitsPerSecond() / Byte.SIZE,
                () -> requests.getAsBoolean() ? WEIGHTS_BESIDE_REQUESTS_FRACTION : WEIGHTS_ONLY_FRACTION);
    }

    // -- the store

    /** Reads the store directly. */
    TopicReader store() {
        return store;
    }

    /** Requests records from peers that reported changes. */
    PeerFirstReader.PeerSource peerRecords() {
        return peerRecords::request;
    }

    /** The offsets of the last known changes; empty before the store was read and while it is unavailable. */
    Optional<ChangeOffsets> changesInTouch() {
        return !followers.isEmpty() && followers.stream().allMatch(StoreFollower::isConnected)
                ? Optional.of(views.changes())
                : Optional.empty();
    }

    /**
     * Starts to follow the store; peers are queried while it is unavailable.
     *
     * @param operatorReader reads operator records from the store or from peers that reported changes
     * @param endpointsReader likewise, registrations of endpoints
     * @param paces how often each topic is read
     * @param peers the peers to query
     * @param duty the role of this process in saving named weight versions
     */
    void follow(
            TopicReader operatorReader,
            TopicReader endpointsReader,
            Paces paces,
            Supplier<List<String>> peers,
            Supplier<WriteRole> duty) {
        OriginVersions origin = new OriginVersions(
                new OriginCalls(fresh), () -> views.view().manifest().flatMap(RouteManifest::origin));
        RepeatedTasks.start("pauses", PAUSE_CHECK_INTERVAL_MILLIS, this::checkForPause);
        VersionRecords records = new VersionRecords(kept, settings.store(), DrainTimeBudget.STORE_RESPONSE_TIMEOUT);
        Consumer<Topic> askPeer = topic -> askPeers(topic, peers.get());
        VersionPersistence operator = new VersionPersistence(
                operatorReader, records, views, duty, () -> askPeer.accept(Topic.OPERATOR), origin);
        followers = List.of(
                new StoreFollower(Topic.OPERATOR, operator, views, askPeer, paces.operator()),
                new StoreFollower(Topic.ENDPOINTS, endpointsReader, views, askPeer, paces.endpoints()));
        operatorPersistence = Optional.of(operator);
        followers.forEach(StoreFollower::start);
        operator.start();
    }

    /** Whether every weight version and manifest that operators published is known; see {@link VersionPersistence}. */
    boolean isHistoryExamined() {
        return operatorPersistence.filter(VersionPersistence::isHistoryExamined).isPresent();
    }

    /**
     * Logs pauses of the process, for example when the instance was suspended, to explain the reports of others for that
     * time.
     */
    private void checkForPause() {
        long pauseMillis = pauses.tick(steadyMillis()) - PAUSE_CHECK_INTERVAL_MILLIS;
        if (pauseMillis >= MIN_REPORTED_PAUSE_MILLIS) {
            LOG.warn(
                    "event=stood_still ms={} instance={}",
                    pauseMillis,
                    settings.instance().id());
        }
    }

    /** Starts to follow the crash records; peers are queried while the store is unavailable. */
    StoreFollower followCrashes(PollTiming pace, Supplier<List<String>> peers) {
        StoreFollower follower =
                new StoreFollower(Topic.CRASHES, store, views, topic -> askPeers(topic, peers.get()), pace);
        follower.start();
        return follower;
    }

    /** Writes the crash records of this process. */
    CrashRecords crashRecords() {
        return new CrashRecords(
                kept,
                settings.store(),
                DrainTimeBudget.STORE_RESPONSE_TIMEOUT,
                settings.instance().id());
    }

    private void askPeers(Topic topic, List<String> peers) {
        rotation.query(peers, peer -> askPeer(peer, topic));
    }

    /** Queries a peer and returns whether it answered. */
    private boolean askPeer(String peer, Topic topic) {
        if (topic == Topic.OPERATOR) {
            // Saved versions contain more than the newest record of a model.
            return requestFrom(peer, Topic.NAMED) && requestFrom(peer, topic);
        }
        return requestFrom(peer, topic);
    }

    private boolean requestFrom(String peer, Topic topic) {
        return switch (peerRecords.request(peer, topic, views.peerReadOffset(topic))) {
            case Result.Success<Batch>(Batch batch) -> {
                views.apply(topic, batch);
                if (topic == Topic.OPERATOR) {
                    batch.asOfMillis().ifPresent(asOf -> views.confirmOperator(batch.end(), asOf));
                }
                yield true;
            }
            case Result.Failure<Batch>(Fault fault) -> {
                LOG.info("event=peer_silent topic={} peer={} why=\"{}\"", topic, peer, fault);
                yield false;
            }
        };
    }
}
