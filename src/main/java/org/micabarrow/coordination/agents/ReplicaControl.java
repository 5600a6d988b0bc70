package org.micabarrow.coordination.agents;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiFunction;
import java.util.function.Function;
import org.micabarrow.coordination.endpoint.Endpoint;
import org.micabarrow.coordination.endpoint.Endpoint.Action;
import org.micabarrow.coordination.membership.Identity;
import org.micabarrow.coordination.membership.ReplicaView;
import org.micabarrow.coordination.weights.Transfer;
import org.micabarrow.coordination.weights.TransferTask;
import org.micabarrow.state.Artifact;
import org.micabarrow.state.Fault;
import org.micabarrow.state.FoldedState;
import org.micabarrow.state.FoldedState.ActivePlacement;
import org.micabarrow.state.Result;
import org.micabarrow.state.Workload;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Brings this instance to what the configuration in force asks of it: starts and ends transfers, orders the endpoint to
 * load and drop versions, and tells which version may answer. Runs on the control thread and never blocks: its
 * caller gives the orders it decides on.
 */
public final class ReplicaControl {

    private static final Logger LOG = LoggerFactory.getLogger(ReplicaControl.class);

    private final Identity identity;
    private final ReplicaTransfers transfers;
    private final Function<String, Integer> running;
    private final Set<String> everLoaded = new HashSet<>();
    private FoldedState state = FoldedState.empty();
    private long knownFrom = Long.MAX_VALUE;
    private Optional<Fault> orderFault = Optional.empty();
    private volatile AgentView view = AgentView.empty();

    /**
     * Makes the control.
     *
     * @param identity which instance this is
     * @param options the memory and patience that a transfer may use
     * @param starter starts a transfer
     * @param running how many requests run on a version
     * @param clock tells the time
     */
    public ReplicaControl(
            Identity identity,
            Options options,
            BiFunction<TransferTask, ActivePlacement, Transfer> starter,
            Function<String, Integer> running,
            InstantSource clock) {
        this.identity = Objects.requireNonNull(identity, "identity is null");
        this.running = Objects.requireNonNull(running, "running is null");
        this.transfers = new ReplicaTransfers(identity, options, starter, clock);
    }

    /**
     * What a transfer may use.
     *
     * @param windowBytes how many bytes of chunks to hold for readers
     * @param patience the longest wait for a chunk
     * @param linger how long to hold a finished transfer's chunks
     */
    public record Options(long windowBytes, Duration patience, Duration linger) {}

    // -- reading, from any thread

    /**
     * What is published.
     *
     * @return the view
     */
    public AgentView view() {
        return view;
    }

    /**
     * The chunks of an artifact that can be passed on.
     *
     * @param artifact the manifest's digest
     * @return what this instance holds of it
     */
    public Holding holding(String artifact) {
        return transfers.holding(artifact);
    }

    // -- deciding, on the control thread

    /**
     * Takes a new configuration.
     *
     * @param next the folded state
     */
    public void configured(FoldedState next) {
        if (knownFrom == Long.MAX_VALUE) {
            knownFrom = next.offset();
        }
        state = next;
        updateTransfers();
        publish(view.report(), view.leaving());
    }

    /** Tells that the instance takes no new work from now on. */
    public void leave() {
        publish(view.report(), true);
    }

    /**
     * Takes the endpoint's report.
     *
     * @param report the report, empty if the endpoint did not answer
     * @return the orders to give now
     */
    public List<Endpoint.Order> reported(Optional<Endpoint.Report> report) {
        report.ifPresent(this::forgetLost);
        publish(report, view.leaving());
        updateTransfers();
        return report.map(this::orders).orElse(List.of());
    }

    /**
     * Takes the answer to an order.
     *
     * @param order the order
     * @param result what the endpoint said
     */
    public void ordered(Endpoint.Order order, Result<Boolean> result) {
        orderFault = result.cause();
        LOG.info("order action={} version={} result={}", order.action(), order.version(), result);
    }

    /** An endpoint that no longer has a version it had must receive it again. */
    private void forgetLost(Endpoint.Report report) {
        for (ActivePlacement placed : mine()) {
            String version = placed.placement().workload().version();
            boolean lost = everLoaded.contains(version) && !report.loaded().contains(version);
            if (lost) {
                LOG.warn(
                        "placement={} version={} is gone from the endpoint",
                        placed.placement().name(),
                        version);
                everLoaded.remove(version);
                placed.placement().workload().artifacts().forEach(artifact -> transfers.drop(artifact.digest()));
            }
        }
        everLoaded.addAll(report.loaded());
    }

    private void updateTransfers() {
        transfers.start(mine(), view.report(), knownFrom);
        transfers.end(mine(), view.report());
    }

    private List<ActivePlacement> mine() {
        return state.placements().values().stream()
                .filter(placed -> placed.replicaOn(identity.instance()).isPresent())
                .toList();
    }

    // -- orders

    private List<Endpoint.Order> orders(Endpoint.Report report) {
        Endpoint.Fence fence = new Endpoint.Fence(identity.epoch(), state.offset());
        List<Endpoint.Order> orders = new ArrayList<>();
        Set<String> wanted = new HashSet<>();
        for (ActivePlacement placed : mine()) {
            Workload workload = placed.placement().workload();
            wanted.add(workload.version());
            boolean loaded = report.loaded().contains(workload.version());
            if (!loaded) {
                placed.previous().map(Workload::version).ifPresent(wanted::add);
            }
            if (!workload.artifacts().isEmpty() && !loaded && transfers.complete(workload)) {
                orders.add(new Endpoint.Order(
                        fence,
                        Action.LOAD,
                        workload.version(),
                        workload.artifacts().stream().map(Artifact::digest).toList()));
            }
        }
        report.loaded().stream()
                .filter(version -> !wanted.contains(version) && running.apply(version) == 0)
                .forEach(version -> orders.add(new Endpoint.Order(fence, Action.UNLOAD, version, List.of())));
        return state.offset() < 0 ? List.of() : orders;
    }

    // -- publishing

    private void publish(Optional<Endpoint.Report> report, boolean leaving) {
        Map<String, ReplicaView> replicas = new HashMap<>();
        for (ActivePlacement placed : mine()) {
            List<Transfer.Progress> progress =
                    transfers.progress(placed.placement().workload());
            replicas.put(placed.placement().name(), ReplicaProgress.of(placed, report, progress, orderFault));
        }
        logChanges(replicas);
        view = new AgentView(replicas, leaving, report);
    }

    private void logChanges(Map<String, ReplicaView> replicas) {
        replicas.forEach((name, replica) -> {
            ReplicaView before = view.replicas().get(name);
            if (before == null || before.state() != replica.state()) {
                LOG.info("replica placement={} version={} state={}", name, replica.version(), replica.state());
            }
        });
    }
}
