package org.micabarrow.bench;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntFunction;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.micabarrow.protocol.OperatorMessages;
import org.micabarrow.standin.EngineStandin;
import org.micabarrow.standin.WeightsStandin;
import org.micabarrow.state.Digest;

/**
 * Measures request latency and goodput under load and faults through one entry and four agents. Baselines of the same
 * run send directly to the engines, round robin or by least requests in flight.
 */
public final class RequestsBench {

    private static final int ENGINES = 4;
    private static final EngineStandin.Timing TIMING = new EngineStandin.Timing(8, 20, 5);
    private static final int ORGANISATIONS = 10;
    private static final int CHARGES = 2000;
    private static final int CLOSED_LOOP_CLIENTS = 64;
    private static final Set<String> HALLS = Set.of("norte-a", "sur-a");

    @Parameter(names = "--seconds", description = "How long each row lasts")
    private double durationSeconds = 8;

    @Parameter(names = "--image", description = "Where to draw the figure")
    private String image = "docs/img/requests.svg";

    private final ClientCalls client = new ClientCalls("bench");
    private final OutcomeCounts outcomes = new OutcomeCounts();
    private final RequestRows rows = new RequestRows();
    private LocalSystem system;
    private OperatorCalls operator;
    private DirectCalls engineCalls;
    private WeightsStandin.GeneratedWeights weights;

    /**
     * Runs the benchmark.
     *
     * @param arguments the command line
     * @throws Exception if the system does not start
     */
    public static void main(String[] arguments) throws Exception {
        BenchLogging.disable();
        RequestsBench bench = new RequestsBench();
        JCommander.newBuilder().addObject(bench).build().parse(arguments);
        bench.run();
        System.exit(bench.outcomes.hasNoViolations() ? 0 : 1);
    }

    /** Returns the maximum request rate of the engines' slots, without the overhead of entry and agents. */
    private static double capacityRequestsPerSecond() {
        double shortMillis = TIMING.prefillMillis() + TIMING.tokenMillis() * OpenLoopLoad.SHORT_TOKENS;
        double longMillis = TIMING.prefillMillis() + TIMING.tokenMillis() * OpenLoopLoad.LONG_TOKENS;
        return ENGINES * TIMING.slots() * 1000.0 / (0.8 * shortMillis + 0.2 * longMillis);
    }

    private void run() throws Exception {
        start();
        System.out.println(String.format(
                Locale.ROOT,
                "capacity %.0f requests a second; times in ms from when a request was due",
                capacityRequestsPerSecond()));
        rows.header();
        measureSystem("warm-up", 0.5, 1);
        for (double load : new double[] {0.3, 0.7, 0.9, 0.95, 1.3}) {
            measureSystem("system at " + load, load, 2);
            measureDirect("round robin at " + load, load, engineCalls.roundRobin());
            measureDirect("least in flight at " + load, load, engineCalls.leastInFlight());
        }
        measureFaults();
        measureOverhead();
        measureClaims();
        finish();
    }

    private void start() throws InterruptedException {
        LocalOptions quick = LocalOptions.quick();
        system = LocalSystem.start(new LocalOptions(
                quick.originBytesPerSecond(),
                quick.storeBytesPerSecond(),
                quick.instanceBytesPerSecond(),
                TIMING,
                quick.chunkTimeoutMillis(),
                quick.windowBytes(),
                quick.claimTimeoutMillis(),
                quick.repairDelayMillis(),
                quick.checkpointIntervalMillis(),
                quick.isolationTimeoutMillis()));
        weights = system.platform().weights().generate(new WeightsStandin.WeightsSpec("bench", 1 << 20, 64 << 10, 7));
        system.addEntry("entry-1", "norte", "norte-a");
        for (int i = 0; i < ENGINES; i++) {
            String region = i % 2 == 0 ? "norte" : "sur";
            system.addEngine("engine-" + i, region, region + "-a");
        }
        system.addService("billing-1", "norte", "norte-a", "billing", 0);
        system.publishInstances();
        operator = new OperatorCalls(system.operatorAddress("entry-1"));
        operator.awaitListed(ENGINES + 2);
        OperatorMessages.PlanResponse planned = operator.plan(intent());
        engineCalls = new DirectCalls(client, system, weights.version(), ENGINES);
        operator.confirm(planned.id());
        operator.awaitReady(ENGINES + 1);
        Thread.sleep(500);
    }

    private String intent() {
        String names = IntStream.range(0, ORGANISATIONS)
                .mapToObj(i -> "\"org-" + i + "\"")
                .collect(Collectors.joining(","));
        String organisations = IntStream.range(0, ORGANISATIONS)
                .mapToObj(i -> "{\"name\":\"org-" + i + "\",\"tokenDigest\":\"" + Digest.of(token(i)) + "\"}")
                .collect(Collectors.joining(","));
        return """
                { "organisations": [ %s ],
                  "placements": [
                    { "name": "bench", "target": { "type": "model", "name": "bench", "version": "%s" },
                      "organisations": [ %s ], "replicas": %d },
                    { "name": "billing", "target": { "type": "service", "name": "billing" },
                      "organisations": [ %s ], "replicas": 1 } ] }
                """.formatted(organisations, weights.version(), names, ENGINES, names);
    }

    private static String token(int organisation) {
        return "token-" + organisation;
    }

    // -- rows under load

    private ClientCalls.Response chat(int number, int organisation, int tokens) {
        ClientCalls.Response response = client.chat(
                system.clientAddress("entry-1"),
                token(organisation),
                ClientCalls.chatBody("bench", "request " + number, tokens, false));
        outcomes.countModelRequest(response, Set.of(weights.fingerprint()), HALLS);
        return response;
    }

    private OpenLoopLoad measureSystem(String name, double load, long seed) {
        double requestsBefore = metric("requests.taken");
        double attemptsBefore = metric("requests.attempts");
        OpenLoopLoad loop = new OpenLoopLoad(this::chat).run(load * capacityRequestsPerSecond(), durationSeconds, seed);
        double attempts = (metric("requests.attempts") - attemptsBefore) / (metric("requests.taken") - requestsBefore);
        rows.addRow(name, loop, attempts);
        if (name.startsWith("system at")) {
            rows.addPoint("system", load, loop);
        }
        return loop;
    }

    private double metric(String name) {
        return OperatorCalls.number(operator.metrics(system.operatorAddress("entry-1")), name);
    }

    private void measureDirect(String name, double load, OpenLoopLoad.Target target) {
        OpenLoopLoad loop = new OpenLoopLoad(target).run(load * capacityRequestsPerSecond(), durationSeconds, 2);
        rows.addRow(name, loop, 1);
        rows.addPoint(name.substring(0, name.indexOf(" at")), load, loop);
    }

    // -- rows with faults

    private void measureFaults() throws InterruptedException {
        measureSystem("no fault at 0.5", 0.5, 3);
        system.engine("engine-1").setSlowdownFactor(10);
        measureSystem("one engine ten times slow at 0.5", 0.5, 3);
        system.engine("engine-1").setSlowdownFactor(1);
        Thread.sleep(1000);
        CompletableFuture<Void> burst = CompletableFuture.runAsync(this::sendBurst);
        measureSystem("burst of 5x for a second at 0.3", 0.3, 4);
        burst.join();
        CompletableFuture<Void> flapping = CompletableFuture.runAsync(this::killAndRestartRepeatedly);
        measureSystem("one agent flapping at 0.5", 0.5, 5);
        flapping.join();
        CompletableFuture<Void> death = CompletableFuture.runAsync(
                () -> runAfterDelay(2000, () -> system.agent("engine-2").kill()));
        measureSystem("one agent dies at 0.5", 0.5, 6);
        death.join();
    }

    private void sendBurst() {
        runAfterDelay(2000, () -> new OpenLoopLoad(this::chat).run(5 * 0.3 * capacityRequestsPerSecond(), 1, 9));
    }

    private void killAndRestartRepeatedly() {
        for (int i = 0; i < 3; i++) {
            runAfterDelay(1000, () -> system.agent("engine-3").kill());
            runAfterDelay(1000, () -> system.startAgent("engine-3"));
        }
    }

    private static void runAfterDelay(long millis, Runnable work) {
        try {
            Thread.sleep(millis);
            work.run();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    // -- overhead of entry and agents

    private void measureOverhead() {
        double[] direct = sequentialLatencyMillis(i -> engineCalls.send(0, i, 1));
        double[] through = sequentialLatencyMillis(i -> chat(i, 0, 1));
        rows.addPair(
                "added by entry and agent over a direct call: p50 %.2f ms, p99 %.2f ms",
                "added_p50_ms", "added_p99_ms", through[0] - direct[0], through[1] - direct[1]);
    }

    private static double[] sequentialLatencyMillis(IntFunction<ClientCalls.Response> send) {
        double[] millis = new double[400];
        for (int i = 0; i < millis.length; i++) {
            millis[i] = send.apply(i).millis();
        }
        Arrays.sort(millis);
        return new double[] {millis[millis.length / 2], millis[millis.length * 99 / 100]};
    }

    private void measureClaims() {
        double appendsBefore = system.platform().appends();
        AtomicInteger next = new AtomicInteger();
        long start = System.nanoTime();
        List<CompletableFuture<Void>> open = new ArrayList<>();
        for (int i = 0; i < CLOSED_LOOP_CLIENTS; i++) {
            open.add(CompletableFuture.runAsync(() -> charge(next), Thread::startVirtualThread));
        }
        open.forEach(CompletableFuture::join);
        double seconds = (System.nanoTime() - start) / 1e9;
        double appends = system.platform().appends() - appendsBefore;
        rows.addPair(
                "claims: %.0f a second in %.0f appends a second",
                "claims_per_s", "appends_per_s", CHARGES / seconds, appends / seconds);
        system.service("billing-1").runsByDigest().values().forEach(outcomes::countDuplicateRuns);
    }

    private void charge(AtomicInteger next) {
        for (int i = next.getAndIncrement(); i < CHARGES; i = next.getAndIncrement()) {
            byte[] body = ("charge " + i).getBytes(StandardCharsets.UTF_8);
            outcomes.countRequest(
                    client.charge(system.clientAddress("entry-1"), token(i % 10), "billing", "k" + i, body), HALLS);
        }
    }

    private void finish() throws IOException {
        system.engineIds()
                .forEach(id -> system.engine(id)
                        .runsByAttempt()
                        .forEach((attempt, count) -> outcomes.countDuplicateRuns(count)));
        rows.json("{" + outcomes.json() + "}");
        rows.finish(Path.of(image));
        operator.close();
        client.close();
        system.close();
    }
}
