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
 * Measures requests under load and faults through one entry and four agents, against round robin and least in flight
 * straight to the engines in the same run.
 */
public final class RequestsBench {

    private static final int ENGINES = 4;
    private static final EngineStandin.Timing TIMING = new EngineStandin.Timing(8, 20, 5);
    private static final int ORGANISATIONS = 10;
    private static final int CHARGES = 2000;
    private static final int CLOSED_CALLERS = 64;
    private static final Set<String> HALLS = Set.of("norte-a", "sur-a");

    @Parameter(names = "--seconds", description = "How long each row lasts")
    private double lasting = 8;

    @Parameter(names = "--image", description = "Where to draw the figure")
    private String image = "docs/img/requests.svg";

    private final Caller caller = new Caller("bench");
    private final Tally tally = new Tally();
    private final RequestRows rows = new RequestRows();
    private LocalSystem system;
    private OperatorCalls operator;
    private DirectCalls engineCalls;
    private WeightsStandin.Done weights;

    /**
     * Runs the benchmark.
     *
     * @param arguments the command line
     * @throws Exception if the system does not come up
     */
    public static void main(String[] arguments) throws Exception {
        Quiet.logs();
        RequestsBench bench = new RequestsBench();
        JCommander.newBuilder().addObject(bench).build().parse(arguments);
        bench.run();
        System.exit(bench.tally.clean() ? 0 : 1);
    }

    /** Requests a second that the engines' places carry at most, with no cost of the path counted. */
    private static double capacity() {
        double shortMillis = TIMING.prefillMillis() + TIMING.tokenMillis() * OpenLoop.SHORT_TOKENS;
        double longMillis = TIMING.prefillMillis() + TIMING.tokenMillis() * OpenLoop.LONG_TOKENS;
        return ENGINES * TIMING.slots() * 1000.0 / (0.8 * shortMillis + 0.2 * longMillis);
    }

    private void run() throws Exception {
        start();
        System.out.println(String.format(
                Locale.ROOT, "capacity %.0f requests a second; times in ms from when a request was due", capacity()));
        rows.header();
        through("warm-up", 0.5, 1);
        for (double load : new double[] {0.3, 0.7, 0.9, 0.95, 1.3}) {
            through("system at " + load, load, 2);
            direct("round robin at " + load, load, engineCalls.roundRobin());
            direct("least in flight at " + load, load, engineCalls.leastInFlight());
        }
        faults();
        overhead();
        claims();
        finish();
    }

    private void start() throws InterruptedException {
        LocalOptions quick = LocalOptions.quick();
        system = LocalSystem.start(new LocalOptions(
                quick.originRate(),
                quick.storeRate(),
                quick.instanceRate(),
                TIMING,
                quick.patienceMillis(),
                quick.windowBytes(),
                quick.claimMillis(),
                quick.repairMillis(),
                quick.checkpointMillis(),
                quick.cutOffMillis()));
        weights = system.platform().weights().make(new WeightsStandin.Wish("bench", 1 << 20, 64 << 10, 7));
        system.addEntry("entry-1", "norte", "norte-a");
        for (int i = 0; i < ENGINES; i++) {
            String region = i % 2 == 0 ? "norte" : "sur";
            system.addEngine("engine-" + i, region, region + "-a");
        }
        system.addService("billing-1", "norte", "norte-a", "billing", 0);
        system.listAll();
        operator = new OperatorCalls(system.operators("entry-1"));
        operator.awaitListed(ENGINES + 2);
        OperatorMessages.PlanResponse planned = operator.plan(intent());
        engineCalls = new DirectCalls(caller, system, weights.version(), ENGINES);
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

    private Caller.Seen chat(int number, int organisation, int tokens) {
        Caller.Seen seen = caller.chat(
                system.callers("entry-1"),
                token(organisation),
                Caller.chatBody("bench", "request " + number, tokens, false));
        tally.model(seen, Set.of(weights.fingerprint()), HALLS);
        return seen;
    }

    private OpenLoop through(String name, double load, long seed) {
        double requestsBefore = metric("requests.taken");
        double attemptsBefore = metric("requests.attempts");
        OpenLoop loop = new OpenLoop(this::chat).run(load * capacity(), lasting, seed);
        double attempts = (metric("requests.attempts") - attemptsBefore) / (metric("requests.taken") - requestsBefore);
        rows.row(name, loop, attempts);
        if (name.startsWith("system at")) {
            rows.point("system", load, loop);
        }
        return loop;
    }

    private double metric(String name) {
        return OperatorCalls.number(operator.metrics(system.operators("entry-1")), name);
    }

    private void direct(String name, double load, OpenLoop.Target target) {
        OpenLoop loop = new OpenLoop(target).run(load * capacity(), lasting, 2);
        rows.row(name, loop, 1);
        rows.point(name.substring(0, name.indexOf(" at")), load, loop);
    }

    // -- rows with faults

    private void faults() throws InterruptedException {
        through("no fault at 0.5", 0.5, 3);
        system.engine("engine-1").slow(10);
        through("one engine ten times slow at 0.5", 0.5, 3);
        system.engine("engine-1").slow(1);
        Thread.sleep(1000);
        CompletableFuture<Void> burst = CompletableFuture.runAsync(this::burstSoon);
        through("burst of 5x for a second at 0.3", 0.3, 4);
        burst.join();
        CompletableFuture<Void> flapping = CompletableFuture.runAsync(this::flap);
        through("one agent flapping at 0.5", 0.5, 5);
        flapping.join();
        CompletableFuture<Void> death = CompletableFuture.runAsync(
                () -> later(2000, () -> system.agent("engine-2").kill()));
        through("one agent dies at 0.5", 0.5, 6);
        death.join();
    }

    private void burstSoon() {
        later(2000, () -> new OpenLoop(this::chat).run(5 * 0.3 * capacity(), 1, 9));
    }

    private void flap() {
        for (int i = 0; i < 3; i++) {
            later(1000, () -> system.agent("engine-3").kill());
            later(1000, () -> system.startAgent("engine-3"));
        }
    }

    private static void later(long millis, Runnable work) {
        try {
            Thread.sleep(millis);
            work.run();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    // -- costs of the path

    private void overhead() {
        double[] direct = oneAfterAnother(i -> engineCalls.send(0, i, 1));
        double[] through = oneAfterAnother(i -> chat(i, 0, 1));
        rows.say(
                "added by entry and agent over a direct call: p50 %.2f ms, p99 %.2f ms",
                "added_p50_ms", "added_p99_ms", through[0] - direct[0], through[1] - direct[1]);
    }

    private static double[] oneAfterAnother(IntFunction<Caller.Seen> send) {
        double[] millis = new double[400];
        for (int i = 0; i < millis.length; i++) {
            millis[i] = send.apply(i).millis();
        }
        Arrays.sort(millis);
        return new double[] {millis[millis.length / 2], millis[millis.length * 99 / 100]};
    }

    private void claims() {
        double appendsBefore = system.platform().appends();
        AtomicInteger next = new AtomicInteger();
        long start = System.nanoTime();
        List<CompletableFuture<Void>> open = new ArrayList<>();
        for (int i = 0; i < CLOSED_CALLERS; i++) {
            open.add(CompletableFuture.runAsync(() -> charge(next), Thread::startVirtualThread));
        }
        open.forEach(CompletableFuture::join);
        double seconds = (System.nanoTime() - start) / 1e9;
        double appends = system.platform().appends() - appendsBefore;
        rows.say(
                "claims: %.0f a second in %.0f appends a second",
                "claims_per_s", "appends_per_s", CHARGES / seconds, appends / seconds);
        system.service("billing-1").runs().values().forEach(tally::runs);
    }

    private void charge(AtomicInteger next) {
        for (int i = next.getAndIncrement(); i < CHARGES; i = next.getAndIncrement()) {
            byte[] body = ("charge " + i).getBytes(StandardCharsets.UTF_8);
            tally.count(caller.charge(system.callers("entry-1"), token(i % 10), "billing", "k" + i, body), HALLS);
        }
    }

    private void finish() throws IOException {
        system.engineIds().forEach(id -> system.engine(id).runs().forEach((attempt, count) -> tally.runs(count)));
        rows.json("{" + tally.json() + "}");
        rows.finish(Path.of(image));
        operator.close();
        caller.close();
        system.close();
    }
}
