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
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiFunction;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.micabarrow.coordination.endpoint.Endpoint;
import org.micabarrow.coordination.endpoint.Endpoint.Action;
import org.micabarrow.coordination.membership.Identity;
import org.micabarrow.coordination.membership.ReplicaView;
import org.micabarrow.coordination.membership.ReplicaView.State;
import org.micabarrow.coordination.weights.ChunkWindow;
import org.micabarrow.coordination.weights.Source;
import org.micabarrow.coordination.weights.Transfer;
import org.micabarrow.state.Artifact;
import org.micabarrow.state.Fault;
import org.micabarrow.state.FoldedState;
import org.micabarrow.state.FoldedState.Placed;
import org.micabarrow.state.Replica;
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
    private final Options options;
    private final Endpoint endpoint;
    private final BiFunction<Transfer.Task, Placed, Transfer> starter;
    private final Function<String, Integer> running;
    private final InstantSource clock;
    private final Map<String, Transfer> transfers = new ConcurrentHashMap<>();
    private final Map<String, Long> finished = new HashMap<>();
    private final Set<String> everLoaded = new HashSet<>();
    private FoldedState state = FoldedState.empty();
    private long knownFrom = Long.MAX_VALUE;
    private Optional<Fault> orderFault = Optional.empty();
    private volatile Set<String> awaited = Set.of();
    private volatile AgentView view = AgentView.empty();

    /**
     * Makes the control.
     *
     * @param identity which instance this is
     * @param options the memory and patience that a transfer may use
     * @param endpoint takes orders
     * @param starter starts a transfer
     * @param running how many requests run on a version
     * @param clock tells the time
     */
    public ReplicaControl(
            Identity identity,
            Options options,
            Endpoint endpoint,
            BiFunction<Transfer.Task, Placed, Transfer> starter,
            Function<String, Integer> running,
            InstantSource clock) {
        this.identity = Objects.requireNonNull(identity, "identity is null");
        this.options = Objects.requireNonNull(options, "options is null");
        this.endpoint = Objects.requireNonNull(endpoint, "endpoint is null");
        this.starter = Objects.requireNonNull(starter, "starter is null");
        this.running = Objects.requireNonNull(running, "running is null");
        this.clock = Objects.requireNonNull(clock, "clock is null");
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
        Transfer transfer = transfers.get(artifact);
        if (transfer != null) {
            return transfer.window().<Holding>map(Holding.Held::new).orElseGet(Holding.Coming::new);
        }
        return awaited.contains(artifact) ? new Holding.Coming() : new Holding.Nothing();
    }

    /** What an instance holds of an artifact for others. */
    public sealed interface Holding {

        /**
         * Chunks that can be read.
         *
         * @param window the chunks
         */
        record Held(ChunkWindow window) implements Holding {}

        /** Nothing yet, but a transfer is about to begin. */
        record Coming() implements Holding {}

        /** Nothing, and nothing will come. */
        record Nothing() implements Holding {}
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
        startTransfers();
        endTransfers();
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
        startTransfers();
        endTransfers();
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
        for (Placed placed : mine()) {
            String version = placed.placement().workload().version();
            boolean lost = everLoaded.contains(version) && !report.loaded().contains(version);
            if (lost) {
                LOG.warn(
                        "placement={} version={} is gone from the endpoint",
                        placed.placement().name(),
                        version);
                everLoaded.remove(version);
                placed.placement().workload().artifacts().forEach(artifact -> drop(artifact.digest()));
            }
        }
        everLoaded.addAll(report.loaded());
    }

    private List<Placed> mine() {
        return state.placements().values().stream()
                .filter(placed -> placed.replicaOn(identity.instance()).isPresent())
                .toList();
    }

    private void startTransfers() {
        awaited = awaitedNow();
        if (view.report().isEmpty()) {
            return;
        }
        for (Placed placed : mine()) {
            Workload workload = placed.placement().workload();
            if (!view.report().get().loaded().contains(workload.version())) {
                workload.artifacts().forEach(artifact -> startTransfer(placed, artifact));
            }
        }
    }

    private Set<String> awaitedNow() {
        List<String> loaded = view.report().map(Endpoint.Report::loaded).orElse(List.of());
        return mine().stream()
                .map(placed -> placed.placement().workload())
                .filter(workload -> !loaded.contains(workload.version()))
                .flatMap(workload -> workload.artifacts().stream())
                .map(Artifact::digest)
                .collect(Collectors.toUnmodifiableSet());
    }

    private void startTransfer(Placed placed, Artifact artifact) {
        transfers.computeIfAbsent(artifact.digest(), digest -> {
            boolean fed = Source.isHead(placed, identity.instance()) && placed.since() > knownFrom;
            Transfer.Task task = new Transfer.Task(
                    digest,
                    artifact.bytes(),
                    Source.order(placed, identity.instance()),
                    Source.orderAfterStall(placed, identity.instance()),
                    fed,
                    follower(placed),
                    options.windowBytes(),
                    options.patience());
            LOG.info(
                    "transfer starts placement={} artifact={} fed={} sources={}",
                    placed.placement().name(),
                    digest,
                    fed,
                    task.sources());
            return starter.apply(task, placed);
        });
    }

    private Optional<String> follower(Placed placed) {
        for (List<Replica> chain : placed.chains()) {
            for (int i = 0; i + 1 < chain.size(); i++) {
                if (chain.get(i).instance().equals(identity.instance())) {
                    return Optional.of(chain.get(i + 1).instance());
                }
            }
        }
        return Optional.empty();
    }

    /** Ends transfers that nothing asks for any more, and frees those that ended a while ago. */
    private void endTransfers() {
        Set<String> wanted = new HashSet<>();
        mine().forEach(placed ->
                placed.placement().workload().artifacts().forEach(artifact -> wanted.add(artifact.digest())));
        for (Map.Entry<String, Transfer> entry : List.copyOf(transfers.entrySet())) {
            if (!wanted.contains(entry.getKey())) {
                drop(entry.getKey());
            } else if (entry.getValue().progress().complete() && isLoaded(entry.getKey())) {
                long since = finished.computeIfAbsent(entry.getKey(), key -> clock.millis());
                if (clock.millis() - since > options.linger().toMillis()) {
                    drop(entry.getKey());
                }
            }
        }
    }

    private boolean isLoaded(String artifact) {
        List<String> loaded = view.report().map(Endpoint.Report::loaded).orElse(List.of());
        return mine().stream()
                .map(placed -> placed.placement().workload())
                .filter(workload -> workload.artifacts().stream()
                        .anyMatch(one -> one.digest().equals(artifact)))
                .allMatch(workload -> loaded.contains(workload.version()));
    }

    private void drop(String artifact) {
        finished.remove(artifact);
        Transfer transfer = transfers.remove(artifact);
        if (transfer != null) {
            transfer.cancel();
        }
    }

    // -- orders

    private List<Endpoint.Order> orders(Endpoint.Report report) {
        Endpoint.Fence fence = new Endpoint.Fence(identity.epoch(), state.offset());
        List<Endpoint.Order> orders = new ArrayList<>();
        Set<String> wanted = new HashSet<>();
        for (Placed placed : mine()) {
            Workload workload = placed.placement().workload();
            wanted.add(workload.version());
            boolean loaded = report.loaded().contains(workload.version());
            if (!loaded) {
                placed.previous().map(Workload::version).ifPresent(wanted::add);
            }
            if (!workload.artifacts().isEmpty() && !loaded && complete(workload)) {
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

    private boolean complete(Workload workload) {
        return workload.artifacts().stream()
                .map(artifact -> transfers.get(artifact.digest()))
                .allMatch(transfer -> transfer != null && transfer.progress().complete());
    }

    // -- publishing

    private void publish(Optional<Endpoint.Report> report, boolean leaving) {
        Map<String, ReplicaView> replicas = new HashMap<>();
        for (Placed placed : mine()) {
            replicas.put(placed.placement().name(), replicaView(placed, report));
        }
        logChanges(replicas);
        view = new AgentView(replicas, leaving, report);
    }

    private ReplicaView replicaView(Placed placed, Optional<Endpoint.Report> report) {
        Workload workload = placed.placement().workload();
        List<String> loaded = report.map(Endpoint.Report::loaded).orElse(List.of());
        List<Transfer.Progress> progress = workload.artifacts().stream()
                .map(artifact -> Optional.ofNullable(transfers.get(artifact.digest())))
                .flatMap(Optional::stream)
                .map(Transfer::progress)
                .toList();
        int total = workload.artifacts().stream().mapToInt(Artifact::chunks).sum();
        boolean ready = report.isPresent() && (workload.artifacts().isEmpty() || loaded.contains(workload.version()));
        int chunks = ready
                ? total
                : progress.stream().mapToInt(Transfer.Progress::chunks).sum();
        Optional<String> serving = ready
                ? Optional.of(workload.version())
                : placed.previous().map(Workload::version).filter(loaded::contains);
        Optional<Fault> fault = ready
                ? Optional.empty()
                : orderFault.or(() ->
                        progress.stream().flatMap(one -> one.fault().stream()).findFirst());
        State reached = ready ? State.READY : reached(chunks, total);
        return new ReplicaView(placed.placement().name(), workload.version(), reached, chunks, total, serving, fault);
    }

    private static State reached(int chunks, int total) {
        if (chunks == 0) {
            return State.ABSENT;
        }
        return chunks < total ? State.RECEIVING : State.VERIFIED;
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
