package org.micabarrow.bench;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.micabarrow.protocol.OperatorMessages;
import org.micabarrow.standin.WeightsStandin;
import org.micabarrow.state.CanonicalJson;
import org.micabarrow.state.Digest;
import org.micabarrow.state.Instance;

/**
 * Walks the whole path on processes that the script {@code demo} has started, and prints what it does. The last line is
 * one JSON object of measured figures.
 */
public final class Demo {

    private static final long ASSISTANT_BYTES = 32L << 20;
    private static final long NOTES_BYTES = 8L << 20;
    private static final int CHUNK_BYTES = 256 << 10;
    private static final Set<String> ASSISTANT_HALLS = Set.of("norte-a", "centro-a");
    private static final Set<String> NOTES_HALLS = Set.of("sur-a");

    /** The token of an organisation's callers. */
    static final String RIDERS = "token-of-riders";

    /** The token of another organisation's callers. */
    static final String VANS = "token-of-vans";

    private static final int CHATS = 40;
    private static final int CHARGES = 10;
    private static final int LONG_TOKENS = 300;
    private static final long AFTER_LOST_ANSWER_MILLIS = 1_500;
    private static final long READY_WITHIN_MILLIS = 60_000;

    private final Setup setup;
    private final Map<String, Long> processes;
    private final DemoOperator operator;
    private final Caller caller = new Caller("demo");
    private final Tally tally = new Tally();
    private final PrintStream out = System.out;
    private long readyReplicas;

    private Demo(Setup setup, Map<String, Long> processes) {
        this.setup = setup;
        this.processes = processes;
        this.operator = new DemoOperator(setup, out);
    }

    /**
     * What the script has started.
     *
     * @param directory where files may be written
     * @param platform the platform's base address
     * @param callers the entries' addresses for callers
     * @param operators the entries' addresses for operators
     * @param operatorToken an operator's token
     * @param instanceRate what each instance's link carries, in bytes a second
     * @param instances the instances to list
     * @param endpoints the endpoints' addresses by instance
     */
    public record Setup(
            String directory,
            String platform,
            List<String> callers,
            List<String> operators,
            String operatorToken,
            long instanceRate,
            List<Instance> instances,
            Map<String, String> endpoints) {}

    /**
     * Runs the demonstration.
     *
     * @param arguments the directory that describes what has been started
     * @throws Exception if anything goes wrong; the exit code tells too
     */
    public static void main(String[] arguments) throws Exception {
        Path directory = Path.of(arguments[0]);
        Setup setup = CanonicalJson.read(Files.readAllBytes(directory.resolve("setup.json")), Setup.class);
        boolean good = new Demo(setup, processes(directory.resolve("processes"))).run();
        System.exit(good ? 0 : 1);
    }

    /** The processes' numbers, as the script has written them. */
    private static Map<String, Long> processes(Path file) throws IOException {
        Map<String, Long> processes = new HashMap<>();
        for (String line : Files.readAllLines(file)) {
            String[] parts = line.split(" ");
            processes.put(parts[0], Long.parseLong(parts[1]));
        }
        return processes;
    }

    private boolean run() throws Exception {
        say("1. the platform lists " + setup.instances().size() + " instances; the origin gets two models");
        caller.post(setup.platform() + "/instances", setup.instances(), Instance[].class);
        awaitHealth();
        WeightsStandin.Done assistant = make("assistant", ASSISTANT_BYTES, 1);
        WeightsStandin.Done notes = make("notes", NOTES_BYTES, 2);

        say("2. an operator asks for a plan; nothing moves until it is confirmed");
        String planId = operator.plan(assistant, notes);
        Thread.sleep(500);
        if (originBytes() != 0) {
            throw new IllegalStateException("weights moved before the confirmation");
        }

        say("3. the operator confirms it through the other entry");
        long start = System.nanoTime();
        operator.command(1, "confirm", planId);
        double seconds = awaitReady(start);
        operator.command(0, "status");

        say("4. callers ask through both entries");
        Map<String, Integer> charges = traffic(assistant.fingerprint(), notes.fingerprint());

        say("5. an agent and an entry are told to stop while streams are open");
        drain(assistant.fingerprint());
        countRuns(charges);
        return report(seconds);
    }

    private void say(String line) {
        out.println();
        out.println("== " + line);
    }

    private WeightsStandin.Done make(String name, long bytes, long seed) {
        return caller.post(
                setup.platform() + "/make",
                new WeightsStandin.Wish(name, bytes, CHUNK_BYTES, seed),
                WeightsStandin.Done.class);
    }

    private long originBytes() {
        return ((Number) caller.fetch(setup.platform() + "/counts", Map.class).get("originBytes")).longValue();
    }

    // -- plan and confirmation

    private void awaitHealth() throws InterruptedException {
        for (String operators : setup.operators()) {
            long end = System.currentTimeMillis() + READY_WITHIN_MILLIS;
            while (System.currentTimeMillis() < end) {
                Map<?, ?> metrics = caller.fetch(operators + "/metrics", Map.class);
                if (((Number) metrics.get("instances.listed")).intValue()
                        == setup.instances().size()) {
                    break;
                }
                Thread.sleep(100);
            }
        }
    }

    private double awaitReady(long start) throws IOException, InterruptedException {
        long end = System.currentTimeMillis() + READY_WITHIN_MILLIS;
        while (System.currentTimeMillis() < end) {
            OperatorMessages.Status status = operator.status();
            readyReplicas = DemoOperator.ready(status);
            if (!status.replicas().isEmpty()
                    && readyReplicas == status.replicas().size()) {
                return (System.nanoTime() - start) / 1e9;
            }
            Thread.sleep(50);
        }
        throw new IllegalStateException("not ready within " + READY_WITHIN_MILLIS + " ms: " + operator.status());
    }

    // -- requests

    private Map<String, Integer> traffic(String assistant, String notes) {
        List<CompletableFuture<Void>> open = new ArrayList<>();
        for (int i = 0; i < CHATS; i++) {
            int n = i;
            open.add(CompletableFuture.runAsync(() -> chat(n, assistant, notes)));
        }
        Map<String, Integer> charges = new HashMap<>();
        for (int i = 0; i < CHARGES; i++) {
            byte[] body = ("{\"charge\":" + i + "}").getBytes(StandardCharsets.UTF_8);
            charges.put(Digest.of(body), i);
            int n = i;
            open.add(CompletableFuture.runAsync(() -> charge(n, body)));
        }
        open.forEach(CompletableFuture::join);
        return charges;
    }

    private String entry(int n) {
        return setup.callers().get(n % setup.callers().size());
    }

    private void chat(int n, String assistant, String notes) {
        boolean forNotes = n % 4 == 3;
        Map<String, Object> body =
                Caller.chatBody(forNotes ? "notes" : "assistant", "dock " + n + " is jammed", 20, n % 2 == 0);
        Caller.Seen seen = caller.chat(entry(n), forNotes ? VANS : RIDERS, body);
        tally.model(seen, Set.of(forNotes ? notes : assistant), forNotes ? NOTES_HALLS : ASSISTANT_HALLS);
    }

    /** The same charge through one entry and then, as if its answer had been lost, through the other. */
    private void charge(int n, byte[] body) {
        Set<String> anywhere = Set.of("norte-a", "centro-a", "sur-a");
        tally.count(caller.charge(entry(n), RIDERS, "billing", "charge-" + n, body), anywhere);
        pause(AFTER_LOST_ANSWER_MILLIS);
        tally.count(caller.charge(entry(n + 1), RIDERS, "billing", "charge-" + n, body), anywhere);
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void countRuns(Map<String, Integer> charges) {
        Map<String, Integer> runs = new HashMap<>();
        setup.endpoints().forEach((instance, address) -> {
            Map<?, ?> counts = caller.fetch(address + "/runs", Map.class);
            counts.forEach((key, count) -> runs.merge((String) key, (Integer) count, Integer::sum));
        });
        runs.values().forEach(tally::runs);
        long charged = charges.keySet().stream().filter(runs::containsKey).count();
        out.println("charges run: " + charged + " of " + charges.size() + ", each sent twice");
    }

    // -- stopping

    private void drain(String fingerprint) throws InterruptedException {
        List<CompletableFuture<Caller.Seen>> streams = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            int n = i;
            streams.add(CompletableFuture.supplyAsync(() -> caller.chat(
                    entry(n), RIDERS, Caller.chatBody("assistant", "a long answer " + n, LONG_TOKENS, true))));
        }
        Thread.sleep(400);
        String agent = setup.instances().stream()
                .filter(instance ->
                        instance.hall().equals("norte-a") && instance.kind().equals(Instance.ENGINE))
                .findFirst()
                .orElseThrow()
                .id();
        stop(agent);
        stop("entry-2");
        for (int i = 0; i < 4; i++) {
            Caller.Seen seen = caller.chat(entry(0), RIDERS, Caller.chatBody("assistant", "after " + i, 8, false));
            tally.model(seen, Set.of(fingerprint), ASSISTANT_HALLS);
            if (seen.ending() == Caller.Ending.ANSWERED && seen.instance().equals(agent)) {
                out.println("note: " + agent + " answered after it was told to stop");
            }
        }
        streams.forEach(stream -> tally.model(stream.join(), Set.of(fingerprint), ASSISTANT_HALLS));
        long whole = streams.stream()
                .filter(stream -> stream.join().ending() == Caller.Ending.ANSWERED)
                .count();
        out.println("streams that ended whole: " + whole + " of " + streams.size());
    }

    private void stop(String instance) {
        out.println("$ kill -TERM (" + instance + ")");
        ProcessHandle.of(processes.get(instance)).ifPresent(ProcessHandle::destroy);
    }

    // -- figures

    private boolean report(double seconds) {
        long distinct = ASSISTANT_BYTES + NOTES_BYTES;
        double bound = (double) ASSISTANT_BYTES / setup.instanceRate();
        long replicas = setup.instances().stream()
                .filter(instance -> !instance.kind().equals(Instance.ENTRY))
                .count();
        out.println(String.format(
                Locale.ROOT,
                "{\"instances\":%d,\"ready\":%d,\"time_to_n_s\":%.3f,\"lower_bound_s\":%.3f,\"origin_copies\":%.3f,%s}",
                replicas,
                readyReplicas,
                seconds,
                bound,
                (double) originBytes() / distinct,
                tally.json()));
        return tally.clean() && readyReplicas == replicas;
    }
}
