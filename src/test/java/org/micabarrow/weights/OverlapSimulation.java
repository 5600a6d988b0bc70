package org.micabarrow.weights;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;
import org.micabarrow.routing.EndpointRegistration;
import org.micabarrow.state.Digest;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Result;
import org.micabarrow.views.RecordDecoder;
import org.micabarrow.views.StoredRecord;
import org.micabarrow.views.ViewMaintainer;
import org.micabarrow.weights.ChunkSources.Agent;

/**
 * Simulates a fleet in which two versions are named one after the other while the origin is unavailable for a period.
 * Runs in steps of a simulated clock, without a network. The controllers and the fetch policy are the real ones. The
 * transfer of chunks is modelled: each link carries a fixed number of chunks per step, the origin serves each chunk
 * once, and an agent requests missing chunks from a few random other agents.
 */
final class OverlapSimulation {

    static final long MAX_STALENESS_MILLIS = 8_000;
    static final int CHUNKS = 64;
    private static final int STEP_MILLIS = 50;
    private static final long WARM_UP_MILLIS = 1_000;
    private static final long RUN_MILLIS = 18_000;
    private static final int PEERS_PER_CHUNK = 6;

    /** How long an endpoint is busy with an order: while its requests finish, or while it only warms up. */
    private static final long BUSY_SERVING_MILLIS = 1_300;

    private static final long BUSY_IDLE_MILLIS = 300;
    private static final Map<Long, List<String>> DIGESTS = new ConcurrentHashMap<>();

    /**
     * The parameters of a simulation.
     *
     * @param seed the random seed
     * @param agents the number of agents
     * @param chunkMillis the time for a chunk on an agent's link; half of it on the origin's link
     * @param thirdNamedAfterMillis when version 3 is named, relative to version 2
     * @param outageStartMillis when the origin becomes unavailable, relative to the naming of version 2
     * @param outageMillis for how long the origin is unavailable
     * @param failureRate the probability per step that some agent restarts or is paused
     */
    record Scenario(
            long seed,
            int agents,
            double chunkMillis,
            long thirdNamedAfterMillis,
            long outageStartMillis,
            long outageMillis,
            double failureRate) {

        static Scenario of(long seed) {
            // A plain Random returns similar first values for neighbouring seeds.
            SplittableRandom random = new SplittableRandom(seed);
            int agents = (int) Math.round(4 * Math.pow(75, random.nextDouble()));
            double mbits = 2 * Math.pow(20, random.nextDouble());
            return new Scenario(
                    seed,
                    agents,
                    262 / mbits,
                    100 + random.nextInt(7_900),
                    random.nextInt(9_000),
                    random.nextInt(9_000),
                    random.nextInt(3) == 0 ? 0.02 : 0);
        }
    }

    /** Selects the version that an agent fetches; 0 for none. */
    interface Policy {
        long version(SimulatedAgent agent);
    }

    private final Scenario scenario;
    private final Policy policy;
    private final Random random;
    private final AtomicLong now = new AtomicLong(1_000_000);
    private final ViewMaintainer views = new ViewMaintainer(new EmptyDecoder(), now::get);
    private final List<SimulatedAgent> simulatedAgents = new ArrayList<>();
    private final Map<Long, BitSet> servedByOrigin = Map.of(2L, new BitSet(), 3L, new BitSet());
    private double originCredit;
    private long secondNamedMillis;
    private long servedSteps;
    int originChunks;

    OverlapSimulation(Scenario scenario, Policy policy) {
        this.scenario = scenario;
        this.policy = policy;
        this.random = new Random(scenario.seed());
        for (int i = 0; i < scenario.agents(); i++) {
            simulatedAgents.add(new SimulatedAgent(i));
        }
    }

    /** Decodes no records: versions are passed to the view keeper directly. */
    static final class EmptyDecoder implements RecordDecoder {

        @Override
        public boolean isManifest(String key) {
            return false;
        }

        @Override
        public Result<OperatorRecord> decodeOperatorRecord(StoredRecord record) {
            return Result.success(new OperatorRecord.UnusedRecord());
        }

        @Override
        public Result<EndpointRegistration> decodeEndpointRegistration(StoredRecord record) {
            return notFound();
        }
    }

    private static <T> Result<T> notFound() {
        return Result.failure(Fault.of(Fault.Step.FETCH, "nobody", Fault.Reason.NOT_FOUND, "none"));
    }

    /** Serves digests; the simulation adds chunks to the sets itself. */
    private record DigestOrigin(boolean forController) implements WeightOrigin {

        @Override
        public Result<List<String>> digests(String address, String model, long version) {
            return Result.success(forController ? FakeOrigin.emptySet(version).digests() : digestsOf(version));
        }

        @Override
        public Result<byte[]> chunk(String address, String model, long version, int index) {
            return notFound();
        }
    }

    private static List<String> digestsOf(long version) {
        return DIGESTS.computeIfAbsent(
                version,
                digestVersion -> IntStream.range(0, CHUNKS)
                        .mapToObj(index -> Digest.of(FakeOrigin.chunk(digestVersion, index)))
                        .toList());
    }

    private record NoPeers() implements ChunkPeers {

        @Override
        public Result<List<String>> digests(String agent, String model, long version) {
            return notFound();
        }

        @Override
        public Result<IndexedChunk> fetchAnyOf(String agent, String model, long version, BitSet wanted) {
            return notFound();
        }
    }

    // -- agents

    /** An agent with its endpoint. */
    final class SimulatedAgent {

        final FakeEndpoint endpoint = new FakeEndpoint();
        final VersionDeadlines deadlines =
                new VersionDeadlines(views::view, () -> FakeEndpoint.LAYERS, MAX_STALENESS_MILLIS, now::get);
        private final int position;
        VersionFetches fetches;
        Optional<FetchProgress> progress = Optional.empty();
        boolean fetchingOlder;
        private ReplicaController controller;
        private double downlinkCredit;
        private double uplinkCredit;
        private long busyUntilMillis;
        private long pausedUntilMillis;
        private long fetchedVersion;
        private long newestHeld = 1;

        private SimulatedAgent(int position) {
            this.position = position;
            endpoint.held = 1;
            for (int i = 0; i < FakeOrigin.CHUNKS; i++) {
                endpoint.staged.put(i, FakeOrigin.chunk(1, i));
            }
            startAgent();
        }

        private void startAgent() {
            controller = new ReplicaController(new ReplicaController.Dependencies(
                    () -> Optional.of("m"),
                    () -> FakeEndpoint.LAYERS,
                    endpoint,
                    fetcher(true),
                    views::view,
                    () -> new ReplicaController.RegionPosition(position, scenario.agents()),
                    () -> {},
                    MAX_STALENESS_MILLIS,
                    now::get));
            fetches = new VersionFetches(fetcher(false), deadlines, now::get);
            progress = Optional.empty();
            fetchingOlder = false;
        }

        private ChunkFetcher fetcher(boolean forController) {
            return new ChunkFetcher(new ChunkFetcher.Dependencies(
                    new NoPeers(),
                    new DigestOrigin(forController),
                    () -> Optional.of("origin:80"),
                    ChunkSources.cached(new Agent("a", "r"), List::of),
                    bytes -> {},
                    now::get));
        }

        long held() {
            return endpoint.held;
        }

        long nowMillis() {
            return now.get();
        }

        long sinceSecondNamed() {
            return now.get() - secondNamedMillis;
        }

        long newest() {
            return deadlines.newest("m");
        }

        ChunkSet set(long version) {
            return fetches.findOrCreate("m", version).toOptional().orElseThrow();
        }

        private boolean isPaused() {
            return now.get() < pausedUntilMillis;
        }

        private boolean serves() {
            return endpoint.held > 0 && !endpoint.busy && !controller.isCordoned() && !isPaused();
        }

        private void addChunk(long version, int index) {
            set(version).put(index, FakeOrigin.chunk(version, index));
            int group = index * FakeOrigin.CHUNKS / CHUNKS;
            int size = CHUNKS / FakeOrigin.CHUNKS;
            if (set(version).hasRange(group * size, (group + 1) * size)) {
                controllerSet(version).put(group, FakeOrigin.chunk(version, group));
            }
        }

        /**
         * Adds a version to the controller without a thread that fetches it: reading back adds the version that the
         * endpoint reports.
         */
        private ChunkSet controllerSet(long version) {
            if (controller.chunkSet("m", version).isEmpty()) {
                long held = endpoint.held;
                endpoint.held = version;
                controller.refresh();
                controller.readBack();
                endpoint.held = held;
                controller.refresh();
            }
            return controller.chunkSet("m", version).orElseThrow();
        }

        private void step() {
            endpoint.busy = now.get() < busyUntilMillis;
            int orders = endpoint.orders.size();
            boolean wasServing = serves() || controller.isCordoned() && endpoint.held > 0;
            controller.refresh();
            controller.step();
            if (endpoint.orders.size() > orders) {
                busyUntilMillis = now.get() + (wasServing ? BUSY_SERVING_MILLIS : BUSY_IDLE_MILLIS);
                endpoint.busy = true;
            }
            newestHeld = Math.max(newestHeld, endpoint.held);
            checkInvariants();
        }

        private void checkInvariants() {
            long minVersion = views.view().minVersion("m", MAX_STALENESS_MILLIS, now.get());
            if (endpoint.held != 0 && !endpoint.busy && endpoint.held < minVersion) {
                throw new AssertionError(
                        "serves " + endpoint.held + " although " + minVersion + " is required: " + scenario);
            }
            if (endpoint.held != 0 && endpoint.held < newestHeld) {
                throw new AssertionError("returned to " + endpoint.held + " from " + newestHeld + ": " + scenario);
            }
            if (endpoint.servesUnverifiedLayer()) {
                throw new AssertionError("an unverified layer is served: " + scenario);
            }
        }

        private void injectFailure() {
            if (random.nextBoolean()) {
                endpoint.restart(random.nextBoolean());
                newestHeld = 0;
                startAgent();
            } else {
                pausedUntilMillis = now.get() + random.nextInt(6_000);
            }
        }
    }

    // -- simulation

    /** Runs the simulation. Returns the fraction of the endpoints' time in which they served. */
    double run() {
        long end = now.get() + WARM_UP_MILLIS + RUN_MILLIS;
        secondNamedMillis = now.get() + WARM_UP_MILLIS;
        int steps = 0;
        for (; now.get() < end; now.addAndGet(STEP_MILLIS)) {
            if (now.get() == secondNamedMillis) {
                views.addPeerTarget("m", 2);
            }
            if (now.get() >= secondNamedMillis + scenario.thirdNamedAfterMillis()
                    && views.view().newestTarget("m").stream().allMatch(target -> target.version() < 3)) {
                views.addPeerTarget("m", 3);
            }
            if (random.nextDouble() < scenario.failureRate()) {
                simulatedAgents.get(random.nextInt(simulatedAgents.size())).injectFailure();
            }
            step();
            steps++;
        }
        return (double) servedSteps / ((long) steps * simulatedAgents.size());
    }

    private void step() {
        originCredit = Math.min(4, originCredit + STEP_MILLIS * 2 / scenario.chunkMillis());
        for (SimulatedAgent agent : simulatedAgents) {
            agent.downlinkCredit = credit(agent.downlinkCredit);
            agent.uplinkCredit = credit(agent.uplinkCredit);
            if (!agent.isPaused()) {
                agent.fetchedVersion = agent.held() >= agent.newest() ? 0 : policy.version(agent);
            }
        }
        int first = random.nextInt(simulatedAgents.size());
        for (int round = 0; round < STEP_MILLIS / 5; round++) {
            boolean moved = false;
            for (int i = 0; i < simulatedAgents.size(); i++) {
                moved |= fetchChunk(simulatedAgents.get((first + i) % simulatedAgents.size()));
            }
            if (!moved) {
                break;
            }
        }
        for (SimulatedAgent agent : simulatedAgents) {
            if (!agent.isPaused()) {
                agent.step();
            }
            servedSteps += agent.serves() ? 1 : 0;
        }
    }

    private double credit(double before) {
        double more = STEP_MILLIS / scenario.chunkMillis();
        return Math.min(Math.max(1, more), before + more);
    }

    private boolean isOriginAvailable() {
        long since = now.get() - secondNamedMillis;
        return since < scenario.outageStartMillis() || since >= scenario.outageStartMillis() + scenario.outageMillis();
    }

    private boolean fetchChunk(SimulatedAgent agent) {
        if (agent.fetchedVersion < 2 || agent.isPaused() || agent.downlinkCredit < 1) {
            return false;
        }
        ChunkSet set = agent.set(agent.fetchedVersion);
        BitSet missing = new BitSet();
        IntStream.range(0, CHUNKS).filter(i -> set.chunk(i).isEmpty()).forEach(missing::set);
        if (missing.isEmpty()) {
            return false;
        }
        return fetchFromPeer(agent, set, missing) || fetchFromOrigin(agent, missing);
    }

    private boolean fetchFromPeer(SimulatedAgent agent, ChunkSet set, BitSet missing) {
        for (int i = 0; i < PEERS_PER_CHUNK; i++) {
            SimulatedAgent peer = simulatedAgents.get(random.nextInt(simulatedAgents.size()));
            Optional<ChunkSet> peerSet = peer.fetches.chunkSet("m", set.version());
            if (peer == agent || peer.uplinkCredit < 1 || peer.isPaused() || peerSet.isEmpty()) {
                continue;
            }
            int index = findChunk(peerSet.get(), missing);
            if (index >= 0) {
                peer.uplinkCredit--;
                agent.downlinkCredit--;
                agent.addChunk(set.version(), index);
                return true;
            }
        }
        return false;
    }

    private int findChunk(ChunkSet peerSet, BitSet missing) {
        int start = random.nextInt(CHUNKS);
        return IntStream.range(0, CHUNKS)
                .map(i -> (start + i) % CHUNKS)
                .filter(i -> missing.get(i) && peerSet.chunk(i).isPresent())
                .findFirst()
                .orElse(-1);
    }

    /** Takes a chunk from the origin that it has not served yet, or that no agent has any more. */
    private boolean fetchFromOrigin(SimulatedAgent agent, BitSet missing) {
        if (!isOriginAvailable() || originCredit < 1) {
            return false;
        }
        BitSet alreadyServed = servedByOrigin.get(agent.fetchedVersion);
        for (int i = missing.nextSetBit(0); i >= 0; i = missing.nextSetBit(i + 1)) {
            int index = i;
            if (!alreadyServed.get(i) || scenario.failureRate() > 0 && noAgentHas(agent.fetchedVersion, index)) {
                alreadyServed.set(i);
                originCredit--;
                agent.downlinkCredit--;
                originChunks++;
                agent.addChunk(agent.fetchedVersion, i);
                return true;
            }
        }
        return false;
    }

    private boolean noAgentHas(long version, int index) {
        return simulatedAgents.stream()
                .filter(other -> !other.isPaused())
                .noneMatch(other -> other.fetches
                        .chunkSet("m", version)
                        .flatMap(set -> set.chunk(index))
                        .isPresent());
    }
}
