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
 * End-to-end demonstration on the processes started by the script {@code demo}. Prints each step; the last line of
 * output is a JSON object with the measurements.
 */
public final class Demo {

    private static final long ASSISTANT_BYTES = 32L << 20;
    private static final long NOTES_BYTES = 8L << 20;
    private static final int CHUNK_BYTES = 256 << 10;
    private static final Set<String> ASSISTANT_HALLS = Set.of("norte-a", "centro-a");
    private static final Set<String> NOTES_HALLS = Set.of("sur-a");

    /** Caller token of the organisation "riders". */
    static final String RIDERS_TOKEN = "token-of-riders";

    /** Caller token of the organisation "vans". */
    static final String VANS_TOKEN = "token-of-vans";

    private static final int CHATS = 40;
    private static final int CHARGES = 10;
    private static final int LONG_TOKENS = 300;
    private static final long RESEND_DELAY_MILLIS = 1_500;
    private static final long READY_TIMEOUT_MILLIS = 60_000;

    private final Setup setup;
    private final Map<String, Long> processes;
    private final DemoOperator operator;
    private final ClientCalls clientCalls = new ClientCalls("demo");
    private final OutcomeCounts outcomes = new OutcomeCounts();
    private final PrintStream out = System.out;
    private long readyReplicas;

    private Demo(Setup setup, Map<String, Long> processes) {
        this.setup = setup;
        this.processes = processes;
        this.operator = new DemoOperator(setup, out);
    }

    /**
     * The processes that the script started.
     *
     * @param directory a directory for temporary files
     * @param platform the platform's base address
     * @param callers the entries' addresses for callers
     * @param operators the entries' addresses for operators
     * @param operatorToken an operator's token
     * @param instanceRate bandwidth of each instance's link, in bytes per second
     * @param instances the instances to publish in the platform's list
     * @param endpoints the addresses of the endpoints by instance
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
     * @param arguments the directory with the description of the started processes
     * @throws Exception if a step fails; the exit code is nonzero as well
     */
    public static void main(String[] arguments) throws Exception {
        Path directory = Path.of(arguments[0]);
        Setup setup = CanonicalJson.read(Files.readAllBytes(directory.resolve("setup.json")), Setup.class);
        boolean succeeded = new Demo(setup, processes(directory.resolve("processes"))).run();
        System.exit(succeeded ? 0 : 1);
    }

    /** Reads the process ids that the script wrote, by instance. */
    private static Map<String, Long> processes(Path file) throws IOException {
        Map<String, Long> processes = new HashMap<>();
        for (String line : Files.readAllLines(file)) {
            String[] parts = line.split(" ");
            processes.put(parts[0], Long.parseLong(parts[1]));
        }
        return processes;
    }

    private boolean run() throws Exception {
        printStep("1. the platform lists " + setup.instances().size() + " instances; the origin gets two models");
        clientCalls.post(setup.platform() + "/instances", setup.instances(), Instance[].class);
        awaitInstancesListed();
        WeightsStandin.GeneratedWeights assistant = generateWeights("assistant", ASSISTANT_BYTES, 1);
        WeightsStandin.GeneratedWeights notes = generateWeights("notes", NOTES_BYTES, 2);

        printStep("2. an operator asks for a plan; nothing moves until it is confirmed");
        String planId = operator.plan(assistant, notes);
        Thread.sleep(500);
        if (originBytes() != 0) {
            throw new IllegalStateException("weights moved before the confirmation");
        }

        printStep("3. the operator confirms it through the other entry");
        long start = System.nanoTime();
        operator.runAndPrint(1, "confirm", planId);
        double seconds = awaitReady(start);
        operator.runAndPrint(0, "status");

        printStep("4. callers ask through both entries");
        Map<String, Integer> charges = sendRequests(assistant.fingerprint(), notes.fingerprint());

        printStep("5. an agent and an entry are told to stop while streams are open");
        drainWithOpenStreams(assistant.fingerprint());
        countRuns(charges);
        return printReport(seconds);
    }

    private void printStep(String line) {
        out.println();
        out.println("== " + line);
    }

    private WeightsStandin.GeneratedWeights generateWeights(String name, long bytes, long seed) {
        return clientCalls.post(
                setup.platform() + "/make",
                new WeightsStandin.WeightsSpec(name, bytes, CHUNK_BYTES, seed),
                WeightsStandin.GeneratedWeights.class);
    }

    private long originBytes() {
        return ((Number) clientCalls
                        .fetch(setup.platform() + "/counts", Map.class)
                        .get("originBytes"))
                .longValue();
    }

    // -- plan and confirmation

    private void awaitInstancesListed() throws InterruptedException {
        for (String operators : setup.operators()) {
            long end = System.currentTimeMillis() + READY_TIMEOUT_MILLIS;
            while (System.currentTimeMillis() < end) {
                Map<?, ?> metrics = clientCalls.fetch(operators + "/metrics", Map.class);
                if (((Number) metrics.get("instances.listed")).intValue()
                        == setup.instances().size()) {
                    break;
                }
                Thread.sleep(100);
            }
        }
    }

    private double awaitReady(long start) throws IOException, InterruptedException {
        long end = System.currentTimeMillis() + READY_TIMEOUT_MILLIS;
        while (System.currentTimeMillis() < end) {
            OperatorMessages.Status status = operator.status();
            readyReplicas = DemoOperator.readyReplicaCount(status);
            if (!status.replicas().isEmpty()
                    && readyReplicas == status.replicas().size()) {
                return (System.nanoTime() - start) / 1e9;
            }
            Thread.sleep(50);
        }
        throw new IllegalStateException("not ready within " + READY_TIMEOUT_MILLIS + " ms: " + operator.status());
    }

    // -- requests

    private Map<String, Integer> sendRequests(String assistant, String notes) {
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
                ClientCalls.chatBody(forNotes ? "notes" : "assistant", "dock " + n + " is jammed", 20, n % 2 == 0);
        ClientCalls.Response response = clientCalls.chat(entry(n), forNotes ? VANS_TOKEN : RIDERS_TOKEN, body);
        outcomes.countModelRequest(
                response, Set.of(forNotes ? notes : assistant), forNotes ? NOTES_HALLS : ASSISTANT_HALLS);
    }

    /**
     * Sends a charge through one entry and then again through the other, as a client does that lost the first response.
     */
    private void charge(int n, byte[] body) {
        Set<String> anywhere = Set.of("norte-a", "centro-a", "sur-a");
        outcomes.countRequest(clientCalls.charge(entry(n), RIDERS_TOKEN, "billing", "charge-" + n, body), anywhere);
        sleep(RESEND_DELAY_MILLIS);
        outcomes.countRequest(clientCalls.charge(entry(n + 1), RIDERS_TOKEN, "billing", "charge-" + n, body), anywhere);
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void countRuns(Map<String, Integer> charges) {
        Map<String, Integer> runs = new HashMap<>();
        setup.endpoints().forEach((instance, address) -> {
            Map<?, ?> counts = clientCalls.fetch(address + "/runs", Map.class);
            counts.forEach((key, count) -> runs.merge((String) key, (Integer) count, Integer::sum));
        });
        runs.values().forEach(outcomes::countDuplicateRuns);
        long charged = charges.keySet().stream().filter(runs::containsKey).count();
        out.println("charges run: " + charged + " of " + charges.size() + ", each sent twice");
    }

    // -- stopping

    private void drainWithOpenStreams(String fingerprint) throws InterruptedException {
        List<CompletableFuture<ClientCalls.Response>> streams = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            int n = i;
            streams.add(CompletableFuture.supplyAsync(() -> clientCalls.chat(
                    entry(n),
                    RIDERS_TOKEN,
                    ClientCalls.chatBody("assistant", "a long answer " + n, LONG_TOKENS, true))));
        }
        Thread.sleep(400);
        String agent = setup.instances().stream()
                .filter(instance ->
                        instance.hall().equals("norte-a") && instance.kind().equals(Instance.ENGINE))
                .findFirst()
                .orElseThrow()
                .id();
        terminate(agent);
        terminate("entry-2");
        for (int i = 0; i < 4; i++) {
            ClientCalls.Response response =
                    clientCalls.chat(entry(0), RIDERS_TOKEN, ClientCalls.chatBody("assistant", "after " + i, 8, false));
            outcomes.countModelRequest(response, Set.of(fingerprint), ASSISTANT_HALLS);
            if (response.outcome() == ClientCalls.Outcome.ANSWERED
                    && response.instance().equals(agent)) {
                out.println("note: " + agent + " answered after it was told to stop");
            }
        }
        streams.forEach(stream -> outcomes.countModelRequest(stream.join(), Set.of(fingerprint), ASSISTANT_HALLS));
        long completed = streams.stream()
                .filter(stream -> stream.join().outcome() == ClientCalls.Outcome.ANSWERED)
                .count();
        out.println("streams that ended whole: " + completed + " of " + streams.size());
    }

    private void terminate(String instance) {
        out.println("$ kill -TERM (" + instance + ")");
        ProcessHandle.of(processes.get(instance)).ifPresent(ProcessHandle::destroy);
    }

    // -- figures

    private boolean printReport(double seconds) {
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
                outcomes.json()));
        return outcomes.hasNoViolations() && readyReplicas == replicas;
    }
}
