package org.micabarrow.process;

import io.grpc.Server;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import org.micabarrow.coordination.admission.ConcurrencyLimit;
import org.micabarrow.coordination.agents.AgentFlow;
import org.micabarrow.coordination.agents.AgentView;
import org.micabarrow.coordination.agents.ReplicaControl;
import org.micabarrow.coordination.agents.StartCheck;
import org.micabarrow.coordination.claims.Ledger;
import org.micabarrow.coordination.endpoint.Endpoint;
import org.micabarrow.coordination.weights.OriginBudget;
import org.micabarrow.coordination.weights.Transfer;
import org.micabarrow.coordination.weights.TransferMetrics;
import org.micabarrow.coordination.weights.TransferTask;
import org.micabarrow.coordination.weights.WeightShare;
import org.micabarrow.coordination.weights.Weights;
import org.micabarrow.protocol.StatusMessages;
import org.micabarrow.protocol.wire.Load;
import org.micabarrow.protocol.wire.StatusReply;
import org.micabarrow.settings.AgentSettings;
import org.micabarrow.state.Fault;
import org.micabarrow.state.FoldedState;
import org.micabarrow.state.Record;
import org.micabarrow.state.Result;
import org.micabarrow.state.Verdict;
import org.micabarrow.transport.EndpointClient;
import org.micabarrow.transport.HttpListener;
import org.micabarrow.transport.LinkPacer;
import org.micabarrow.transport.WeightsClient;
import org.micabarrow.transport.grpc.PeerService;
import org.micabarrow.transport.operators.OperatorHandlers;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** An agent: the process beside an endpoint. */
public final class AgentProcess implements AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(AgentProcess.class);

    /** The interval between reads of the platform's list of instances, in milliseconds. */
    private static final long LIST_MILLIS = 30_000;

    /** The window of chunks divided by what may be in transit from the store at once. */
    private static final int PREFETCH_DIVISOR = 4;

    /** The shortest time after which a source counts as stalled, in milliseconds, however fast the link is. */
    private static final long MIN_STALL_MILLIS = 100;

    private final AgentSettings settings;
    private final Node node;
    private final EndpointClient endpoint;
    private final ReplicaControl replicas;
    private final AgentFlow flow;
    private final ConcurrencyLimit concurrency;
    private final WeightShare share;
    private final LinkPacer linkIn;
    private final LinkPacer linkOut;
    private final Weights weights;
    private final ExecutorService threads = Node.workers("agent-work");
    private Server server;
    private HttpListener operators;
    private volatile boolean closed;

    private AgentProcess(AgentSettings settings, UnaryOperator<Weights> faults) throws IOException {
        this.settings = Objects.requireNonNull(settings, "settings is null");
        this.node = new Node(settings.instance(), settings.platform(), settings.tls(), LIST_MILLIS);
        this.endpoint = new EndpointClient(node.http(), settings.endpoint().url());
        AgentSettings.Limits limits = settings.limits();
        this.concurrency = new ConcurrencyLimit(
                limits.leastConcurrency(),
                limits.mostConcurrency(),
                Math.min(limits.mostConcurrency(), 2 * limits.leastConcurrency()));
        this.share = new WeightShare();
        this.linkIn = new LinkPacer(settings.links().instanceBytesPerSecond(), share::share);
        this.linkOut = new LinkPacer(settings.links().instanceBytesPerSecond(), share::share);
        this.weights = faults.apply(new WeightsClient(
                node.http(),
                settings.platform(),
                node.peers()::chunks,
                linkIn,
                node.configuration()::generation,
                settings.weights().windowBytes() / PREFETCH_DIVISOR));
        this.replicas = new ReplicaControl(
                node.identity(),
                new ReplicaControl.Options(
                        settings.weights().windowBytes(),
                        stallTimeout(settings),
                        Duration.ofMillis(settings.weights().lingerMillis())),
                this::startTransfer,
                this::runningOn,
                node.clock());
        this.flow = new AgentFlow(new AgentFlow.Parts(
                node.identity(),
                node.configuration(),
                replicas::view,
                new StartCheck(node.identity(), limits.cutOffMillis()),
                concurrency,
                new Ledger(
                        node.identity().epochText(),
                        limits.ledgerKeys(),
                        limits.ledgerBytes(),
                        limits.ledgerKeptMillis()),
                endpoint,
                share,
                node.clock(),
                limits.ledgerBytes()));
    }

    /**
     * Starts an agent.
     *
     * @param settings its settings
     * @return the running agent
     * @throws IOException if one of its addresses cannot be used
     */
    public static AgentProcess start(AgentSettings settings) throws IOException {
        return start(settings, UnaryOperator.identity());
    }

    /**
     * Starts an agent with faults injected into its reads of weights.
     *
     * @param settings its settings
     * @param faults wraps the sources of weights
     * @return the running agent
     * @throws IOException if one of its addresses cannot be used
     */
    public static AgentProcess start(AgentSettings settings, UnaryOperator<Weights> faults) throws IOException {
        AgentProcess agent = new AgentProcess(settings, faults);
        agent.begin();
        return agent;
    }

    /**
     * Returns the state that the control thread publishes.
     *
     * @return the view
     */
    public AgentView view() {
        return replicas.view();
    }

    /** A stalled source must be abandoned while others still hold the missing chunk: after half a window's time at most. */
    private static Duration stallTimeout(AgentSettings settings) {
        long halfWindow =
                500 * settings.weights().windowBytes() / settings.links().instanceBytesPerSecond();
        return Duration.ofMillis(
                Math.clamp(halfWindow, MIN_STALL_MILLIS, settings.weights().patienceMillis()));
    }

    private int runningOn(String version) {
        return flow.running(version);
    }

    private void begin() throws IOException {
        node.gauge("requests.open", flow::open);
        node.gauge("requests.limit", flow::mostOpen);
        node.gauge("weights.share", share::share);
        PeerService.AgentComponents parts =
                new PeerService.AgentComponents(flow, replicas::holding, this::load, linkOut, threads);
        server = node.channels()
                .serve(
                        settings.listen().peers(),
                        new PeerService(node.configuration(), this::status, Optional.of(parts)));
        operators = HttpListener.start(
                settings.listen().operators(),
                HttpListener.Limits.defaults(),
                1,
                Optional.empty(),
                OperatorHandlers.monitoring(node.metrics(), node::healthy));
        node.configuration()
                .onStep(step -> replicas.configured(node.configuration().current()));
        node.start();
        threads.execute(this::pollReports);
        LOG.info(
                "agent instance={} epoch={} listens",
                node.identity().instance(),
                node.identity().epoch());
    }

    // -- status

    private Load load() {
        AgentView view = replicas.view();
        return Load.newBuilder()
                .setInFlight(flow.open())
                .setQueued(view.report().map(Endpoint.Report::queued).orElse(0))
                .setLimit(flow.mostOpen())
                .setLeaving(view.leaving())
                .build();
    }

    private StatusReply status() {
        StatusReply.Builder reply = node.status().setLoad(load());
        replicas.view().replicas().values().forEach(replica -> reply.addReplicas(StatusMessages.toWire(replica)));
        return reply.build();
    }

    // -- the endpoint

    /** Polls the endpoint's reports and sends the resulting orders, on a separate thread. */
    private void pollReports() {
        while (!closed) {
            Result<Endpoint.Report> report = endpoint.report();
            report.toOptional().ifPresent(reported -> concurrency.initialize(reported.slots()));
            node.control().execute(() -> {
                List<Endpoint.Order> orders = replicas.reported(report.toOptional());
                orders.forEach(order -> threads.execute(() -> give(order)));
            });
            try {
                Thread.sleep(settings.endpoint().reportMillis());
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void give(Endpoint.Order order) {
        Result<Boolean> result = endpoint.order(order);
        node.control().execute(() -> replicas.ordered(order, result));
    }

    // -- weights

    private Transfer startTransfer(TransferTask task, FoldedState.ActivePlacement placed) {
        OriginBudget budget = bytes -> draw(placed.placement().name(), bytes);
        Transfer transfer =
                new Transfer(task, weights, endpoint, budget, new TransferMetrics(node.metrics()), node.clock());
        threads.execute(transfer);
        return transfer;
    }

    /** Reserves bytes to read from the origin, within the placement's envelope, by a record in the log. */
    private Result<Long> draw(String placement, long bytes) {
        Record record = new Record.OriginDrawn(
                Node.newId(),
                node.configuration().generation(),
                placement,
                node.identity().instance(),
                bytes);
        Duration within = Duration.ofMillis(settings.weights().budgetMillis());
        return node.writer().write(record, within).flatMap(seen -> switch (seen.verdict()) {
            case Verdict.Accepted ignored -> Result.success(bytes);
            case Verdict.Refused(String reason) -> refused(reason);
            default -> refused(seen.verdict().toString());
        });
    }

    private static Result<Long> refused(String why) {
        return Result.failure(Fault.of(Fault.Step.FETCH, "origin", Fault.Reason.OVERLOADED, why));
    }

    // -- stopping

    /** Accepts no new requests, waits for running ones, and stops. */
    @Override
    public void close() {
        LOG.info("agent instance={} leaves, open={}", node.identity().instance(), flow.open());
        node.control().execute(replicas::leave);
        long end = node.clock().millis() + settings.limits().stopMillis();
        Node.awaitIdle(() -> flow.open() > 0 && node.clock().millis() < end);
        server.shutdown();
        try {
            server.awaitTermination(Node.STOP_POLL_MILLIS * 10, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        kill();
        LOG.info("agent instance={} has stopped", node.identity().instance());
    }

    /** Stops immediately, as if the instance had failed. */
    public void kill() {
        closed = true;
        Node.end(server);
        operators.close();
        threads.shutdownNow();
        node.close();
    }
}
