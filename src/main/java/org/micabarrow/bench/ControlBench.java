package org.micabarrow.bench;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.micabarrow.protocol.OperatorMessages;
import org.micabarrow.standin.WeightsStandin;
import org.micabarrow.state.Artifact;
import org.micabarrow.state.CanonicalJson;
import org.micabarrow.state.Digest;
import org.micabarrow.state.FoldedState;
import org.micabarrow.state.Organisation;
import org.micabarrow.state.Placement;
import org.micabarrow.state.Plan;
import org.micabarrow.state.Record;
import org.micabarrow.state.Reducer;
import org.micabarrow.state.Replica;
import org.micabarrow.state.Workload;

/**
 * Measures the overhead of the control plane: memory, CPU time and network traffic of real processes, idle and during
 * configuration changes, for several cluster sizes; and the throughput and record sizes of the reducer.
 * docs/CAPACITY.md is written from its output.
 */
public final class ControlBench {

    private static final List<String> HALLS = List.of("norte-a", "centro-a", "sur-a");
    private static final int CHANGES = 10;
    private static final long SETTLE_MILLIS = 15_000;

    /** The default interval in the settings. */
    private static final long STATUS_MILLIS = 1_000;

    @Parameter(names = "--nodes", description = "The numbers of agents to measure")
    private List<Integer> nodes = new ArrayList<>(List.of(4, 8, 16, 32, 64));

    @Parameter(names = "--rest-seconds", description = "How long to measure at rest")
    private double restSeconds = 10;

    /**
     * Runs the benchmark.
     *
     * @param arguments the command line
     * @throws Exception if the system does not start
     */
    public static void main(String[] arguments) throws Exception {
        BenchLogging.disable();
        ControlBench bench = new ControlBench();
        JCommander.newBuilder().addObject(bench).build().parse(arguments);
        measureReducer();
        for (int count : bench.nodes) {
            bench.measure(count);
        }
        System.exit(0);
    }

    // -- processes

    private void measure(int count) throws Exception {
        try (LocalSystem system = LocalSystem.start(LocalOptions.quick())) {
            system.setStatusIntervalMillis(STATUS_MILLIS);
            system.useSeparateProcesses(Path.of(System.getenv("MICABARROW_BINARY")));
            system.addEntry("entry-1", "centro", "centro-a");
            for (int i = 0; i < count; i++) {
                String hall = HALLS.get(i % HALLS.size());
                system.addEngine(hall + "-" + i, hall.substring(0, hall.indexOf('-')), hall);
            }
            system.publishInstances();
            try (OperatorCalls operator = new OperatorCalls(system.operatorAddress("entry-1"))) {
                operator.awaitListed(count + 1);
                WeightsStandin.GeneratedWeights weights = system.platform()
                        .weights()
                        .generate(new WeightsStandin.WeightsSpec("bench", 1 << 20, 64 << 10, count));
                operator.confirm(
                        operator.plan(intent(weights.version(), count, 0)).id());
                operator.awaitReady(count);
                Thread.sleep(SETTLE_MILLIS);
                measureAtRest(system, operator, count);
                measureChanges(system, operator, weights.version(), count);
            }
        }
    }

    /** Resource usage of a set of processes at one point in time. */
    private record Sample(double cpuMillis, double peerBytes, double httpBytes, double rssMegabytes) {

        Sample minus(Sample before) {
            return new Sample(
                    cpuMillis - before.cpuMillis,
                    peerBytes - before.peerBytes,
                    httpBytes - before.httpBytes,
                    rssMegabytes);
        }

        Sample over(double divisor) {
            return new Sample(cpuMillis / divisor, peerBytes / divisor, httpBytes / divisor, rssMegabytes);
        }
    }

    private static Sample sample(LocalSystem system, OperatorCalls operator, List<String> ids) throws IOException {
        Sample sum = new Sample(0, 0, 0, 0);
        for (String id : ids) {
            String address = id.startsWith("entry") ? system.operatorAddress(id) : system.metricsAddress(id);
            Map<?, ?> metrics = operator.metrics(address);
            double peers = metrics.keySet().stream()
                    .map(String::valueOf)
                    .filter(name -> name.startsWith("peers.") && !name.contains("Chunks"))
                    .filter(name -> name.endsWith(".sent") || name.endsWith(".received"))
                    .mapToDouble(name -> OperatorCalls.number(metrics, name))
                    .sum();
            sum = new Sample(
                    sum.cpuMillis() + OperatorCalls.number(metrics, "process.cpuMillis"),
                    sum.peerBytes() + peers,
                    sum.httpBytes()
                            + OperatorCalls.number(metrics, "http.sentBytes")
                            + OperatorCalls.number(metrics, "http.receivedBytes"),
                    sum.rssMegabytes() + rssMegabytes(system.process(id).pid()));
        }
        return new Sample(
                sum.cpuMillis() / ids.size(),
                sum.peerBytes() / ids.size(),
                sum.httpBytes() / ids.size(),
                sum.rssMegabytes() / ids.size());
    }

    private static double rssMegabytes(long pid) throws IOException {
        try (Stream<String> lines = Files.lines(Path.of("/proc/" + pid + "/status"))) {
            return lines.filter(line -> line.startsWith("VmRSS:"))
                    .mapToDouble(line -> Double.parseDouble(line.replaceAll("[^0-9]", "")) / 1024)
                    .findFirst()
                    .orElse(0);
        }
    }

    private void measureAtRest(LocalSystem system, OperatorCalls operator, int count) throws Exception {
        Sample agentsBefore = sample(system, operator, system.engineIds());
        Sample entryBefore = sample(system, operator, List.of("entry-1"));
        Thread.sleep((long) (restSeconds * 1000));
        Sample agents =
                sample(system, operator, system.engineIds()).minus(agentsBefore).over(restSeconds);
        Sample entry =
                sample(system, operator, List.of("entry-1")).minus(entryBefore).over(restSeconds);
        print("at rest", "agent", count, agents);
        print("at rest", "entry", count, entry);
    }

    private static void print(String row, String role, int count, Sample sample) {
        System.out.println(String.format(
                Locale.ROOT,
                "{\"row\":\"%s\",\"role\":\"%s\",\"agents\":%d,\"cpu_percent\":%.2f,\"peer_bytes_per_s\":%.0f,"
                        + "\"http_bytes_per_s\":%.0f,\"rss_mb\":%.0f}",
                row,
                role,
                count,
                sample.cpuMillis() / 10,
                sample.peerBytes(),
                sample.httpBytes(),
                sample.rssMegabytes()));
    }

    private void measureChanges(LocalSystem system, OperatorCalls operator, String version, int count)
            throws Exception {
        Sample before = sample(system, operator, system.engineIds());
        Sample entryBefore = sample(system, operator, List.of("entry-1"));
        long slowest = 0;
        long sum = 0;
        int inForce = 0;
        long start = System.nanoTime();
        for (int i = 1; i <= CHANGES; i++) {
            OperatorMessages.PlanResponse planned = operator.plan(intent(version, count, i));
            long from = System.nanoTime();
            OperatorMessages.ConfirmResponse confirmed = operator.confirm(planned.id());
            long millis = (System.nanoTime() - from) / 1_000_000;
            slowest = Math.max(slowest, millis);
            sum += millis;
            inForce = confirmed.inForceOn();
        }
        double seconds = (System.nanoTime() - start) / 1e9;
        Sample agents = sample(system, operator, system.engineIds()).minus(before);
        Sample entry = sample(system, operator, List.of("entry-1")).minus(entryBefore);
        System.out.println(String.format(
                Locale.ROOT,
                "{\"row\":\"%d changes in %.1f s\",\"agents\":%d,\"in_force_on\":%d,\"in_force_mean_ms\":%d,"
                        + "\"in_force_slowest_ms\":%d,\"agent_cpu_ms_per_change\":%.1f,"
                        + "\"entry_cpu_ms_per_change\":%.1f,\"agent_bytes_per_change\":%.0f}",
                CHANGES,
                seconds,
                count,
                inForce,
                sum / CHANGES,
                slowest,
                agents.cpuMillis() / CHANGES,
                entry.cpuMillis() / CHANGES,
                (agents.peerBytes() + agents.httpBytes()) / CHANGES));
    }

    private static String intent(String version, int count, int change) {
        return """
                { "organisations": [ { "name": "riders", "tokenDigest": "%s" } ],
                  "placements": [ { "name": "bench",
                    "target": { "type": "model", "name": "bench", "version": "%s" },
                    "organisations": ["riders"], "replicas": %d,
                    "envelope": { "originBytes": %d } } ] }
                """.formatted(Digest.of("riders"), version, count, change);
    }

    // -- the reducer

    private static void measureReducer() throws IOException {
        for (int placements : new int[] {10, 100, 1000}) {
            measureReducer(placements);
        }
    }

    private static void measureReducer(int placements) throws IOException {
        FoldedState state = FoldedState.empty();
        for (int i = 0; i < placements; i++) {
            state = change(state, i, 8);
        }
        int records = 400;
        long start = System.nanoTime();
        for (int i = 0; i < records / 2; i++) {
            state = change(state, i % placements, 8);
        }
        double perSecond = records / ((System.nanoTime() - start) / 1e9);
        byte[] written = CanonicalJson.write(state);
        int record = CanonicalJson.write(
                        new Record.Envelope(Record.SCHEMA, new Record.PlanProposed("x".repeat(36), plan(state, 0, 8))))
                .length;
        long digestStart = System.nanoTime();
        state.digest();
        double digestMillis = (System.nanoTime() - digestStart) / 1e6;
        System.out.println(String.format(
                Locale.ROOT,
                "{\"row\":\"reducer\",\"placements\":%d,\"records_per_s\":%.0f,\"record_bytes\":%d,"
                        + "\"checkpoint_bytes\":%d,\"digest_ms\":%.1f,\"heap_bytes\":%d}",
                placements,
                perSecond,
                record,
                written.length,
                digestMillis,
                heapBytes(written)));
    }

    /** Returns the heap size of one state, averaged over ten copies. */
    private static long heapBytes(byte[] written) throws IOException {
        long before = usedHeap();
        List<FoldedState> copies = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            copies.add(CanonicalJson.read(written, FoldedState.class));
        }
        return (usedHeap() - before) / copies.size();
    }

    private static long usedHeap() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    private static FoldedState change(FoldedState state, int placement, int replicas) {
        Plan plan = plan(state, placement, replicas);
        String id = state.offset() + "-" + placement;
        FoldedState proposed = Reducer.fold(state, state.offset() + 1, new Record.PlanProposed("p" + id, plan))
                .state();
        return Reducer.fold(
                        proposed,
                        proposed.offset() + 1,
                        new Record.PlanConfirmed("c" + id, plan.basis(), plan.id(), "ana"))
                .state();
    }

    private static Plan plan(FoldedState state, int placement, int replicas) {
        List<Replica> chain = IntStream.range(0, replicas)
                .mapToObj(i -> new Replica("norte-a-" + (placement + i), "norte", "norte-a", "10.0.0.1:9000"))
                .toList();
        Placement placed = new Placement(
                "placement-" + placement,
                new Workload.Model("model-" + placement, new Artifact(Digest.of("w" + placement), 1, 1), List.of()),
                List.of(),
                List.of("norte-a"),
                List.of("riders"),
                replicas,
                Placement.RolloutPreference.TIME,
                Placement.CutOffPolicy.SERVE,
                new Placement.Envelope(1, 1));
        Plan.Step step = new Plan.Step(placed, List.of(chain), List.of(), List.of(), new Plan.Estimate(1, 1, 0, 1));
        return new Plan(state.offset(), List.of(new Organisation("riders", Digest.of("riders"), 1)), List.of(step));
    }
}
