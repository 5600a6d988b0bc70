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
import org.micabarrow.platform.CrashRecords;
import org.micabarrow.platform.StoreClient;
import org.micabarrow.platform.StoreRecords;
import org.micabarrow.platform.VersionRecords;
import org.micabarrow.settings.HostedSettings;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Result;
import org.micabarrow.transport.HttpClient;
import org.micabarrow.transport.LinkPacer;
import org.micabarrow.transport.PeerRecordClient;
import org.micabarrow.views.ChangeOffsets;
import org.micabarrow.views.DrainTimeBudget;
import org.micabarrow.views.PeerFirstReader;
import org.micabarrow.views.StoreFollower;
import org.micabarrow.views.StoreFollower.PollTiming;
import org.micabarrow.views.Topic;
import org.micabarrow.views.TopicReader;
import org.micabarrow.views.TopicReader.Batch;
import org.micabarrow.views.VersionPersistence;
import org.micabarrow.views.VersionPersistence.WriteRole;
import org.micabarrow.views.ViewMaintainer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioWorker;

/** What entries and agents on the users' platform have alike: the view of the store, and the threads. */
final class HostedNode {

    private static final Logger LOG = LoggerFactory.getLogger(HostedNode.class);

    /** How many connections to one place are kept: one each for the two topics and a few for peers. */
    private static final int KEPT_CONNECTIONS = 8;

    /**
     * How long the store may hold a read that finds nothing. A lost answer shows after this and the answer's own
     * time, which together stay well under the three seconds in which the users expect a process to be in touch again.
     */
    static final Duration STORE_WAIT = Duration.ofMillis(1_500);

    /** The part of the link that weights may take where nothing else uses it; the heads of packets take the rest. */
    private static final double SHARE_ALONE = 0.96;

    /**
     * The part of the link that weights may take beside requests. These and their answers take some four hundredths of it (six
     * a second of some 3 KB each); with as much again and more to spare, the queue in which they wait does not grow.
     */
    private static final double SHARE_BESIDE_REQUESTS = 0.85;

    /**
     * How old what the region's reader knows may be for others to go by it, as a part of the time in which a manifest must be in
     * force: the store's hold of a read, three questions between entries and agents (0.45 s) and a round trip. The rest is for the
     * entry's own read.
     */
    private static final double TRUST_PART = 0.75;

    private final HostedSettings settings;
    private final MetricRegistry metrics = new MetricRegistry();
    private final XnioWorker worker;
    private final HttpClient kept;
    private final HttpClient fresh;
    private final ViewMaintainer views;
    private final PeerRecordClient peerRecords;
    private final StoreClient store;
    private volatile List<StoreFollower> followers = List.of();
    private final PeersInTurn turn = new PeersInTurn();

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
                kept, settings.store(), DrainTimeBudget.STORE_RESPONSE_TIMEOUT, HostedNode::steadyMillis);
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

    /** A clock that never steps and counts suspensions, in milliseconds. */
    static long steadyMillis() {
        return MonotonicClock.millis();
    }

    /** How old what the region's reader knows may be for others to go by it, in milliseconds. */
    static long readerTrustMillis(HostedSettings.Bounds bounds) {
        return Math.round(bounds.operatorMillis() * TRUST_PART);
    }

    MetricRegistry metrics() {
        return metrics;
    }

    XnioWorker worker() {
        return worker;
    }

    /** Keeps connections for later requests. */
    HttpClient kept() {
        return kept;
    }

    /** Opens a connection for each request. */
    HttpClient fresh() {
        return fresh;
    }

    ViewMaintainer views() {
        return views;
    }

    /**
     * What weights may take of the instance's link, in either direction.
     *
     * @param requests whether requests use the link too just now
     */
    LinkPacer weightPacer(BooleanSupplier requests) {
        return new LinkPacer(
                settings.linkBitsPerSecond() / Byte.SIZE,
                () -> requests.getAsBoolean() ? SHARE_BESIDE_REQUESTS : SHARE_ALONE);
    }

    // -- the store

    /** Reads the store itself. */
    TopicReader store() {
        return store;
    }

    /** Asks processes that tell of news for the records. */
    PeerFirstReader.PeerSource peerRecords() {
        return peerRecords::request;
    }

    /** What is known of the store, while it answers; empty while it does not, and before it was read. */
    Optional<ChangeOffsets> changesInTouch() {
        return !followers.isEmpty() && followers.stream().allMatch(StoreFollower::isConnected)
                ? Optional.of(views.changes())
                : Optional.empty();
    }

    /**
     * Begins to follow the store; peers are asked while it does not answer.
     *
     * @param operatorReader reads what operators wrote from the store, or from those that tell what is new there
     * @param endpointsReader likewise, endpoints' entries
     * @param paces how often each topic is read
     * @param peers whom to ask
     * @param duty what this process does for named weight versions
     */
    void follow(
            TopicReader operatorReader,
            TopicReader endpointsReader,
            Paces paces,
            Supplier<List<String>> peers,
            Supplier<WriteRole> duty) {
        VersionRecords records = new VersionRecords(kept, settings.store(), DrainTimeBudget.STORE_RESPONSE_TIMEOUT);
        Consumer<Topic> askPeer = topic -> askPeers(topic, peers.get());
        VersionPersistence operator =
                new VersionPersistence(operatorReader, records, views, duty, () -> askPeer.accept(Topic.OPERATOR));
        followers = List.of(
                new StoreFollower(Topic.OPERATOR, operator, views, askPeer, paces.operator()),
                new StoreFollower(Topic.ENDPOINTS, endpointsReader, views, askPeer, paces.endpoints()));
        followers.forEach(StoreFollower::start);
        operator.start();
    }

    /** Begins to follow what entries tell each other of crashes; peers are asked while the store does not answer. */
    StoreFollower followCrashes(PollTiming pace, Supplier<List<String>> peers) {
        StoreFollower follower =
                new StoreFollower(Topic.CRASHES, store, views, topic -> askPeers(topic, peers.get()), pace);
        follower.start();
        return follower;
    }

    /** Writes what this process tells others of crashes. */
    CrashRecords crashRecords() {
        return new CrashRecords(
                kept,
                settings.store(),
                DrainTimeBudget.STORE_RESPONSE_TIMEOUT,
                settings.instance().id());
    }

    private void askPeers(Topic topic, List<String> peers) {
        turn.ask(peers, peer -> askPeer(peer, topic));
    }

    /** Asks a peer, and tells whether it answered. */
    private boolean askPeer(String peer, Topic topic) {
        if (topic == Topic.OPERATOR) {
            // What is kept tells more than the newest record of a model.
            return takeFrom(peer, Topic.NAMED) && takeFrom(peer, topic);
        }
        return takeFrom(peer, topic);
    }

    private boolean takeFrom(String peer, Topic topic) {
        return switch (peerRecords.request(peer, topic, views.peerReadOffset(topic))) {
            case Result.Success<Batch>(Batch batch) -> {
                views.apply(topic, batch.records(), batch.end());
                if (topic == Topic.OPERATOR) {
                    batch.asOfMillis().ifPresent(views::confirmOperator);
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
