package org.micabarrow.process;

import io.grpc.Server;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ExecutorService;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import java.util.zip.CRC32C;
import javax.net.ssl.SSLContext;
import org.micabarrow.coordination.admission.RetryBudget;
import org.micabarrow.coordination.claims.ClaimStream;
import org.micabarrow.coordination.claims.ClaimWriter;
import org.micabarrow.coordination.configuration.Duties;
import org.micabarrow.coordination.membership.PeerTable;
import org.micabarrow.coordination.membership.PeerView;
import org.micabarrow.coordination.requests.RequestFlow;
import org.micabarrow.coordination.routing.InstanceStats;
import org.micabarrow.coordination.routing.PrefixIndex;
import org.micabarrow.coordination.routing.Router;
import org.micabarrow.memory.HeldBytes;
import org.micabarrow.memory.MemoryLimit;
import org.micabarrow.protocol.wire.StatusReply;
import org.micabarrow.settings.EntrySettings;
import org.micabarrow.state.Links;
import org.micabarrow.state.Record;
import org.micabarrow.transport.HttpListener;
import org.micabarrow.transport.LinkPacer;
import org.micabarrow.transport.TlsFiles;
import org.micabarrow.transport.WeightsClient;
import org.micabarrow.transport.callers.CallerHandler;
import org.micabarrow.transport.grpc.PeerService;
import org.micabarrow.transport.operators.OperatorApi;
import org.micabarrow.transport.operators.OperatorHandlers;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** An entry: the process that callers and operators talk to. */
public final class EntryProcess implements AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(EntryProcess.class);

    /** How often the table of agents is published and waiting requests are dispatched. */
    private static final Duration TICK = Duration.ofMillis(50);

    /** Timeout of writing a record that no request waits for. */
    private static final Duration WRITE_TIMEOUT = Duration.ofSeconds(5);

    /** The threads that read callers' requests. */
    private static final int CALLER_THREADS = 2;

    /** The number of prompt prefixes in the index, which bounds its memory. */
    private static final int MAX_PREFIXES = 50_000;

    /** The number of retries that may accumulate while there is little traffic. */
    private static final double MAX_SAVED_RETRIES = 20;

    private final EntrySettings settings;
    private final Node node;
    private final PeerTable table;
    private final InstanceStats traffic = new InstanceStats();
    private final PrefixIndex prefixes = new PrefixIndex(MAX_PREFIXES);
    private final Router router;
    private final Duties duties;
    private final AgentStatuses statuses;
    private final List<ClaimStream> claims = new ArrayList<>();
    private final RequestFlow flow;
    private final CallerHandler callers;
    private final ExecutorService threads = Node.workers("entry-work");
    private Server server;
    private HttpListener callerListener;
    private HttpListener operatorListener;

    private EntryProcess(EntrySettings settings) throws IOException {
        this.settings = Objects.requireNonNull(settings, "settings is null");
        EntrySettings.Peers timing = settings.peers();
        this.node = new Node(settings.instance(), settings.platform(), settings.tls(), timing.listMillis());
        this.table = new PeerTable(
                settings.instance().id(), timing.agentsPerPlacement(), timing.unreachableMillis(), node.clock());
        this.router = new Router(
                settings.instance().region(),
                settings.instance().hall(),
                traffic,
                prefixes,
                RandomGenerator.of("L64X128MixRandom"));
        this.statuses = new AgentStatuses(node, table, timing.statusMillis(), this::statusReceived);
        this.duties = new Duties(
                settings.instance().id(), timing.repairMillis(), timing.checkpointMillis(), Node::newId, node.clock());
        EntrySettings.Limits limits = settings.limits();
        for (int i = 0; i < limits.claimStreams(); i++) {
            claims.add(ClaimStream.start(
                    node.platform(), "claims-" + i, Duration.ofMillis(limits.claimKeptMillis()), node.clock()));
        }
        this.flow = new RequestFlow(
                node.configuration()::current,
                table::peers,
                new RequestFlow.Components(
                        router,
                        traffic,
                        prefixes,
                        node.peers(),
                        claimsByKey(),
                        new RetryBudget(limits.retryShare(), MAX_SAVED_RETRIES),
                        Node::newId,
                        node.clock(),
                        Duration.ofMillis(limits.claimMillis())));
        this.callers = new CallerHandler(
                node.configuration()::current,
                flow,
                Node::newId,
                node.clock(),
                limits.deadlineMillis(),
                memory(limits));
    }

    private static CallerHandler.Memory memory(EntrySettings.Limits limits) {
        long limitBytes = MemoryLimit.bytes(Runtime.getRuntime().maxMemory(), OptionalLong.empty());
        return new CallerHandler.Memory(limits.bodyBytes(), new HeldBytes(limitBytes), new HeldBytes(limitBytes));
    }

    private Function<String, ClaimWriter> claimsByKey() {
        return key -> {
            CRC32C checksum = new CRC32C();
            checksum.update(key.getBytes(StandardCharsets.UTF_8));
            return claims.get((int) (checksum.getValue() % claims.size()));
        };
    }

    /**
     * Starts an entry.
     *
     * @param settings its settings
     * @return the running entry
     * @throws IOException if one of its addresses cannot be used
     */
    public static EntryProcess start(EntrySettings settings) throws IOException {
        EntryProcess entry = new EntryProcess(settings);
        entry.begin();
        return entry;
    }

    private void begin() throws IOException {
        node.gauge("requests.open", callers::openRequests);
        node.gauge("requests.waiting", flow::waiting);
        node.gauge("requests.taken", flow::requests);
        node.gauge("requests.attempts", flow::attempts);
        node.gauge(
                "claims.held", () -> claims.stream().mapToInt(ClaimStream::size).sum());
        node.gauge("instances.listed", () -> table.instances().size());
        node.gauge("agents.known", () -> table.peers().size());
        server = node.channels()
                .serve(
                        settings.listen().peers(),
                        new PeerService(node.configuration(), this::status, Optional.empty()));
        node.peers().setLoadListener((instance, load) -> node.control().execute(() -> table.loaded(instance, load)));
        node.start();
        node.control().every(Duration.ofMillis(settings.peers().statusMillis()), statuses::poll);
        node.control().every(TICK, this::tick);
        node.control().every(Duration.ofMillis(settings.peers().listMillis()), this::runDuties);
        listen();
        LOG.info("entry instance={} listens", node.identity().instance());
    }

    private void listen() throws IOException {
        EntrySettings.Limits limits = settings.limits();
        callerListener = HttpListener.start(
                settings.listen().callers(),
                new HttpListener.Limits(
                        limits.bodyBytes(),
                        limits.headerBytes(),
                        limits.connections(),
                        limits.idleMillis(),
                        limits.idleMillis()),
                CALLER_THREADS,
                callerContext(),
                callers);
        operatorListener = HttpListener.start(
                settings.listen().operators(),
                HttpListener.Limits.defaults(),
                1,
                Optional.empty(),
                OperatorHandlers.api(
                        operatorApi(),
                        settings.operators(),
                        OperatorHandlers.monitoring(node.metrics(), this::healthy)));
    }

    private Optional<SSLContext> callerContext() throws IOException {
        Optional<TlsFiles> files = Node.open(settings.tls().callers());
        return files.isPresent() ? Optional.of(files.get().context()) : Optional.empty();
    }

    private OperatorApi operatorApi() {
        Links links = new Links(
                settings.links().originBytesPerSecond(), settings.links().instanceBytesPerSecond());
        LinkPacer unpaced = new LinkPacer(settings.links().instanceBytesPerSecond(), () -> 1);
        WeightsClient weights = new WeightsClient(
                node.http(), settings.platform(), node.peers()::chunks, unpaced, node.configuration()::generation, 0);
        return new OperatorApi(
                new OperatorApi.Dependencies(
                        settings.instance().id(),
                        links,
                        node.configuration(),
                        node.writer(),
                        node.platform(),
                        table,
                        weights,
                        node.peers(),
                        router,
                        flow::waiting),
                Node::newId,
                node.clock());
    }

    private boolean healthy() {
        return node.healthy() && !callers.draining();
    }

    private StatusReply status() {
        return node.status().build();
    }

    // -- on the control thread

    private void statusReceived(PeerView view) {
        table.heard(view);
        threads.execute(flow::dispatchWaiting);
    }

    private void tick() {
        table.publish();
        if (flow.waiting() > 0) {
            threads.execute(flow::dispatchWaiting);
        }
    }

    private void runDuties() {
        table.listed(node.instances());
        duties.repairs(node.configuration().current(), node.instances(), this::silent)
                .forEach(this::write);
        duties.checkpoint(node.configuration().view(), node.instances()).ifPresent(this::write);
    }

    private boolean silent(String instance) {
        PeerView peer = table.peers().get(instance);
        return peer == null || !peer.reachable();
    }

    private void write(Record record) {
        threads.execute(() -> LOG.info(
                "duty record={} result={}",
                record.getClass().getSimpleName(),
                node.writer().write(record, WRITE_TIMEOUT)));
    }

    // -- stopping

    /** Accepts no new requests, waits for open ones, and stops. */
    @Override
    public void close() {
        LOG.info("entry instance={} leaves, open={}", node.identity().instance(), callers.openRequests());
        callers.startDraining();
        Node.awaitIdle(() -> callers.openRequests() > 0);
        kill();
        LOG.info("entry instance={} has stopped", node.identity().instance());
    }

    /** Stops immediately, as if the instance had failed. */
    public void kill() {
        callerListener.close();
        operatorListener.close();
        Node.end(server);
        claims.forEach(ClaimStream::close);
        threads.shutdownNow();
        node.close();
    }
}
