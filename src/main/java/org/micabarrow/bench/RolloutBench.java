package org.micabarrow.bench;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.micabarrow.coordination.membership.ReplicaView;
import org.micabarrow.standin.EngineStandin;
import org.micabarrow.standin.Faults;
import org.micabarrow.standin.WeightsStandin;
import org.micabarrow.state.Digest;
import org.micabarrow.state.Placement;

/**
 * Measures the time to distribute new weights to N replicas and the bytes sent by the origin, on real sockets with
 * rate-limited links: in the window W the origin's link carries four copies and each instance's link two. Times are
 * reported relative to the lower bound of the same run.
 */
public final class RolloutBench {

    private static final List<String> HALLS = List.of("norte-a", "centro-a", "sur-a");
    private static final long TIMEOUT_MILLIS = 180_000;

    @Parameter(names = "--replicas", description = "The numbers of replicas to measure")
    private List<Integer> replicas = new ArrayList<>(List.of(8, 16, 32, 64));

    @Parameter(names = "--bytes", description = "The size of the weights")
    private long bytes = 16L << 20;

    @Parameter(names = "--chunk-bytes", description = "The size of a chunk")
    private int chunkBytes = 64 << 10;

    @Parameter(names = "--window-seconds", description = "The time in which the origin's link carries four copies")
    private double windowSeconds = 4;

    @Parameter(names = "--faults", description = "Measure the rows with faults too", arity = 1)
    private boolean withFaults = true;

    @Parameter(names = "--image", description = "Where to draw the figure")
    private String image = "docs/img/rollout.svg";

    private final List<RolloutRow> rows = new ArrayList<>();
    private OperatorCalls operator;
    private long seed = 100;

    /**
     * Runs the benchmark.
     *
     * @param arguments the command line
     * @throws Exception if a rollout does not complete
     */
    public static void main(String[] arguments) throws Exception {
        BenchLogging.disable();
        RolloutBench bench = new RolloutBench();
        JCommander.newBuilder().addObject(bench).build().parse(arguments);
        bench.run();
        System.exit(0);
    }

    private long originBytesPerSecond() {
        return (long) (4 * bytes / windowSeconds);
    }

    private long instanceBytesPerSecond() {
        return (long) (2 * bytes / windowSeconds);
    }

    private double lowerBoundSeconds() {
        return (double) bytes / instanceBytesPerSecond();
    }

    private void run() throws Exception {
        System.out.println(RolloutRow.header());
        for (int count : replicas) {
            measure(count);
        }
        measureBaselines();
        Files.createDirectories(Path.of(image).toAbsolutePath().getParent());
        Files.writeString(Path.of(image), RolloutFigure.draw(rows));
        rows.forEach(row -> System.out.println(row.json()));
    }

    private void add(RolloutRow row) {
        rows.add(row);
        System.out.println(row.line());
    }

    // -- rollouts

    private LocalOptions options() {
        return new LocalOptions(
                originBytesPerSecond(),
                originBytesPerSecond(),
                instanceBytesPerSecond(),
                new EngineStandin.Timing(8, 5, 2),
                1_000,
                5 << 20,
                5_000,
                600_000,
                600_000,
                600_000);
    }

    private void measure(int count) throws Exception {
        FaultInjectingWeights faultInjection = new FaultInjectingWeights();
        try (LocalSystem system = LocalSystem.start(options())) {
            system.wrapWeights(faultInjection::wrap);
            system.addEntry("entry-1", "centro", "centro-a");
            for (int i = 0; i < count; i++) {
                String hall = HALLS.get(i % HALLS.size());
                system.addEngine(hall + "-" + i, hall.substring(0, hall.indexOf('-')), hall);
            }
            system.publishInstances();
            operator = new OperatorCalls(system.operatorAddress("entry-1"));
            operator.awaitListed(count + 1);
            measureRollout(system, count, "warm-up", Placement.RolloutPreference.TIME, () -> {}, Set.of());
            rows.removeLast();
            measureRollout(system, count, "no fault", Placement.RolloutPreference.TIME, () -> {}, Set.of());
            measureRollout(system, count, "no fault", Placement.RolloutPreference.ORIGIN_BYTES, () -> {}, Set.of());
            if (withFaults) {
                measureFaults(system, faultInjection, count);
            }
        }
    }

    private void measureFaults(LocalSystem system, FaultInjectingWeights faultInjection, int count) throws Exception {
        List<String> ids = system.engineIds();
        for (Placement.RolloutPreference prefer : Placement.RolloutPreference.values()) {
            measureRollout(
                    system, count, "1% of chunks corrupted", prefer, () -> faultInjection.corruptOneIn(100), Set.of());
            faultInjection.clear();
            measureRollout(system, count, "one link stalled", prefer, () -> faultInjection.stall(ids.get(1)), Set.of());
            faultInjection.clear();
            measureRollout(system, count, "store slow", prefer, () -> injectStoreFaults(system, false), Set.of());
            measureRollout(
                    system,
                    count,
                    "log out after the confirmation",
                    prefer,
                    () -> injectStoreFaults(system, true),
                    Set.of());
            system.platform().setFaults(Faults.none());
            Set<String> killed = everyEighth(ids);
            measureRollout(
                    system, count, "one death in eight", prefer, () -> killDuringTransfer(system, killed), killed);
            restartAgents(system, killed);
            measureRollout(
                    system,
                    count,
                    "all faults together",
                    prefer,
                    () -> {
                        faultInjection.corruptOneIn(100);
                        faultInjection.stall(ids.get(1));
                        injectStoreFaults(system, true);
                        killDuringTransfer(system, killed);
                    },
                    killed);
            faultInjection.clear();
            system.platform().setFaults(Faults.none());
            restartAgents(system, killed);
        }
    }

    private static void injectStoreFaults(LocalSystem system, boolean logDown) {
        system.platform().setFaults(new Faults(logDown, 0, false, false, 200, 0, false));
    }

    private static Set<String> everyEighth(List<String> ids) {
        Set<String> chosen = new HashSet<>();
        for (int i = 3; i < ids.size(); i += 8) {
            chosen.add(ids.get(i));
        }
        return chosen;
    }

    /** Kills instances after a third of the minimum transfer time. */
    private void killDuringTransfer(LocalSystem system, Set<String> ids) {
        Thread killer = new Thread(() -> {
            try {
                Thread.sleep((long) (lowerBoundSeconds() * 1000 / 3));
                ids.forEach(id -> system.agent(id).kill());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        killer.setDaemon(true);
        killer.start();
    }

    private static void restartAgents(LocalSystem system, Set<String> ids) throws InterruptedException {
        ids.forEach(system::startAgent);
        for (String id : ids) {
            while (system.agent(id).view().report().isEmpty()) {
                Thread.sleep(20);
            }
        }
    }

    /** Measures one rollout, from the confirmation until every surviving replica is ready. */
    private void measureRollout(
            LocalSystem system,
            int count,
            String name,
            Placement.RolloutPreference prefer,
            Runnable afterConfirmation,
            Set<String> killed)
            throws Exception {
        WeightsStandin.GeneratedWeights weights = system.platform()
                .weights()
                .generate(new WeightsStandin.WeightsSpec("bench", bytes, chunkBytes, seed++));
        String plan = operator.plan(intent(weights.version(), count, prefer)).id();
        long originBefore = system.platform().originBytes();
        long start = System.nanoTime();
        Thread confirmation = Thread.ofPlatform().start(() -> operator.confirm(plan));
        awaitRolloutStart(system, weights.version());
        afterConfirmation.run();
        awaitReady(system, weights.version(), killed);
        double seconds = (System.nanoTime() - start) / 1e9;
        confirmation.join(TIMEOUT_MILLIS);
        double copies = (double) (system.platform().originBytes() - originBefore) / bytes;
        add(new RolloutRow(name, count, name(prefer), seconds, lowerBoundSeconds(), copies));
    }

    private static void awaitRolloutStart(LocalSystem system, String version) throws InterruptedException {
        String first = system.engineIds().getFirst();
        while (system.agent(first).view().replicas().values().stream()
                .noneMatch(replica -> replica.version().equals(version))) {
            Thread.sleep(1);
        }
    }

    private static void awaitReady(LocalSystem system, String version, Set<String> killed) throws InterruptedException {
        long end = System.currentTimeMillis() + TIMEOUT_MILLIS;
        List<String> waiting = new ArrayList<>(system.engineIds());
        waiting.removeAll(killed);
        while (!waiting.isEmpty()) {
            waiting.removeIf(id -> system.agent(id).view().replicas().values().stream()
                    .anyMatch(replica ->
                            replica.version().equals(version) && replica.state() == ReplicaView.State.READY));
            if (System.currentTimeMillis() > end) {
                waiting.forEach(id ->
                        System.err.println(id + " " + system.agent(id).view().replicas()));
                throw new IllegalStateException(waiting.size() + " replicas are not ready");
            }
            Thread.sleep(2);
        }
    }

    private String intent(String version, int count, Placement.RolloutPreference prefer) {
        return """
                { "organisations": [ { "name": "riders", "tokenDigest": "%s" } ],
                  "placements": [ { "name": "bench",
                    "target": { "type": "model", "name": "bench", "version": "%s" },
                    "organisations": ["riders"], "replicas": %d, "prefer": "%s",
                    "envelope": { "replacements": 0, "originBytes": %d } } ] }
                """.formatted(Digest.of("riders"), version, count, name(prefer), bytes / 2);
    }

    private static String name(Placement.RolloutPreference prefer) {
        return prefer == Placement.RolloutPreference.TIME ? "time" : "originBytes";
    }

    // -- baselines

    /** Runs all baselines concurrently: they only wait for rate limiters, so they do not affect each other. */
    private void measureBaselines() {
        List<CompletableFuture<RolloutRow>> measured = new ArrayList<>();
        for (int count : replicas) {
            measured.add(
                    CompletableFuture.supplyAsync(() -> newBaselines().fromOrigin(count), Thread::startVirtualThread));
            measured.add(CompletableFuture.supplyAsync(
                    () -> newBaselines().storeAndForward(count), Thread::startVirtualThread));
        }
        measured.forEach(row -> add(row.join()));
    }

    private Baselines newBaselines() {
        return new Baselines(bytes, chunkBytes, originBytesPerSecond(), instanceBytesPerSecond());
    }
}
