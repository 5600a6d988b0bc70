package org.micabarrow.coordination.agents;

import java.time.InstantSource;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiFunction;
import java.util.stream.Collectors;
import org.micabarrow.coordination.endpoint.Endpoint;
import org.micabarrow.coordination.membership.Identity;
import org.micabarrow.coordination.weights.Source;
import org.micabarrow.coordination.weights.Transfer;
import org.micabarrow.coordination.weights.TransferTask;
import org.micabarrow.state.Artifact;
import org.micabarrow.state.FoldedState.ActivePlacement;
import org.micabarrow.state.Replica;
import org.micabarrow.state.Workload;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The transfers that bring an instance's replicas their weights: starts those that the configuration asks for, ends those
 * that nothing asks for any more, and frees finished ones a while after the endpoint has loaded them. All but
 * {@link #holding} runs on the control thread.
 */
final class ReplicaTransfers {

    private static final Logger LOG = LoggerFactory.getLogger(ReplicaTransfers.class);

    private final Identity identity;
    private final ReplicaControl.Options options;
    private final BiFunction<TransferTask, ActivePlacement, Transfer> starter;
    private final InstantSource clock;
    private final Map<String, Transfer> transfers = new ConcurrentHashMap<>();
    private final Map<String, Long> finished = new HashMap<>();
    private volatile Set<String> awaited = Set.of();

    ReplicaTransfers(
            Identity identity,
            ReplicaControl.Options options,
            BiFunction<TransferTask, ActivePlacement, Transfer> starter,
            InstantSource clock) {
        this.identity = Objects.requireNonNull(identity, "identity is null");
        this.options = Objects.requireNonNull(options, "options is null");
        this.starter = Objects.requireNonNull(starter, "starter is null");
        this.clock = Objects.requireNonNull(clock, "clock is null");
    }

    // -- reading

    /** The chunks of an artifact that can be passed on; to be called from any thread. */
    Holding holding(String artifact) {
        Transfer transfer = transfers.get(artifact);
        if (transfer != null) {
            return transfer.window().<Holding>map(Holding.Held::new).orElseGet(Holding.Coming::new);
        }
        return awaited.contains(artifact) ? new Holding.Coming() : new Holding.Nothing();
    }

    /** How far the transfers of a workload's artifacts have come, without those that have not begun. */
    List<Transfer.Progress> progress(Workload workload) {
        return workload.artifacts().stream()
                .map(artifact -> Optional.ofNullable(transfers.get(artifact.digest())))
                .flatMap(Optional::stream)
                .map(Transfer::progress)
                .toList();
    }

    /** Whether all of a workload's artifacts have been staged at the endpoint. */
    boolean complete(Workload workload) {
        return workload.artifacts().stream()
                .map(artifact -> transfers.get(artifact.digest()))
                .allMatch(transfer -> transfer != null && transfer.progress().complete());
    }

    // -- starting

    /**
     * Starts the transfers of what the endpoint has not loaded.
     *
     * @param mine the placements that have a replica here
     * @param report the endpoint's latest report, empty if it does not answer
     * @param knownFrom the generation from which on this process has followed the configuration
     */
    void start(List<ActivePlacement> mine, Optional<Endpoint.Report> report, long knownFrom) {
        awaited = awaitedNow(mine, loaded(report));
        if (report.isEmpty()) {
            return;
        }
        for (ActivePlacement placed : mine) {
            Workload workload = placed.placement().workload();
            if (!report.get().loaded().contains(workload.version())) {
                workload.artifacts().forEach(artifact -> startTransfer(placed, artifact, knownFrom));
            }
        }
    }

    private static List<String> loaded(Optional<Endpoint.Report> report) {
        return report.map(Endpoint.Report::loaded).orElse(List.of());
    }

    private static Set<String> awaitedNow(List<ActivePlacement> mine, List<String> loaded) {
        return mine.stream()
                .map(placed -> placed.placement().workload())
                .filter(workload -> !loaded.contains(workload.version()))
                .flatMap(workload -> workload.artifacts().stream())
                .map(Artifact::digest)
                .collect(Collectors.toUnmodifiableSet());
    }

    private void startTransfer(ActivePlacement placed, Artifact artifact, long knownFrom) {
        transfers.computeIfAbsent(artifact.digest(), digest -> {
            boolean fed = Source.isHead(placed, identity.instance()) && placed.since() > knownFrom;
            TransferTask task = new TransferTask(
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

    private Optional<String> follower(ActivePlacement placed) {
        for (List<Replica> chain : placed.chains()) {
            for (int i = 0; i + 1 < chain.size(); i++) {
                if (chain.get(i).instance().equals(identity.instance())) {
                    return Optional.of(chain.get(i + 1).instance());
                }
            }
        }
        return Optional.empty();
    }

    // -- ending

    /** Ends transfers that nothing asks for any more, and frees those that ended a while ago. */
    void end(List<ActivePlacement> mine, Optional<Endpoint.Report> report) {
        Set<String> wanted = new HashSet<>();
        mine.forEach(
                placed -> placed.placement().workload().artifacts().forEach(artifact -> wanted.add(artifact.digest())));
        for (Map.Entry<String, Transfer> entry : List.copyOf(transfers.entrySet())) {
            if (!wanted.contains(entry.getKey())) {
                drop(entry.getKey());
            } else if (entry.getValue().progress().complete() && isLoaded(entry.getKey(), mine, loaded(report))) {
                long since = finished.computeIfAbsent(entry.getKey(), key -> clock.millis());
                if (clock.millis() - since > options.linger().toMillis()) {
                    drop(entry.getKey());
                }
            }
        }
    }

    private static boolean isLoaded(String artifact, List<ActivePlacement> mine, List<String> loaded) {
        return mine.stream()
                .map(placed -> placed.placement().workload())
                .filter(workload -> workload.artifacts().stream()
                        .anyMatch(one -> one.digest().equals(artifact)))
                .allMatch(workload -> loaded.contains(workload.version()));
    }

    /** Ends the transfer of an artifact, so that it can be received again. */
    void drop(String artifact) {
        finished.remove(artifact);
        Transfer transfer = transfers.remove(artifact);
        if (transfer != null) {
            transfer.cancel();
        }
    }
}
