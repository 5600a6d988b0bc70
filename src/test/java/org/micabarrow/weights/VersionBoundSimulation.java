package org.micabarrow.weights;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Result;
import org.micabarrow.views.NamingAccount;
import org.micabarrow.views.Topic;
import org.micabarrow.views.TopicReader.Batch;
import org.micabarrow.views.View;
import org.micabarrow.views.ViewMaintainer;
import org.micabarrow.weights.ChunkSources.Agent;

/**
 * Plays entries that send requests to endpoints while newer versions are named, on a simulated clock. The controllers
 * and the moments of both sides are the real ones. Counts requests that begin on a version past its bound, and measures
 * for how long none begins.
 */
final class VersionBoundSimulation {

    private static final int STEP_MILLIS = 10;

    /** The controllers' interval. */
    private static final int CONTROLLER_STEP_MILLIS = 50;

    /** How late processes may learn of a naming: what an agent's stop and an entry's cancelling allow for. */
    private static final int AGENT_LEARNING_MILLIS = 250;

    private static final int ENTRY_LEARNING_MILLIS = 180;
    private static final int RESET_MILLIS = 60;
    private static final int TRANSIT_MILLIS = 250;

    /** How late an entry knows of a cordon, and if its notification is lost. */
    private static final int NOTIFIED_MILLIS = 30;

    private static final int POLLED_MILLIS = 480;
    private static final int BUSY_MILLIS = 1_300;
    private static final int IDLE_BUSY_MILLIS = 300;
    private static final int REQUESTS_PER_STEP = 3;

    /** Pauses around the stop last between this and twice as long. */
    private static final int MIN_PAUSE_MILLIS = 750;

    /** How long before a naming pauses begin, at most, and how long they last. */
    private static final int PAUSED_BEFORE_NAMING_MILLIS = 50;

    private static final int ENTRY_PAUSE_MILLIS = 4_000;
    private static final int AGENT_PAUSE_MILLIS = 6_000;

    /** How late an entry learns whose source is paused: until it reads the store itself. */
    private static final int MIN_UNINFORMED_MILLIS = 450;

    private static final int MAX_UNINFORMED_MILLIS = 1_100;

    /** How old what a process knows of the store is at most, while all sources run. */
    private static final int MAX_KNOWLEDGE_AGE_MILLIS = 1_200;

    /** When instances, agents and entries are paused. */
    enum Pauses {
        /** Instances or only their agents, around the stop. */
        AROUND_STOP,
        /** Agents and entries, while the first version is named; the other entries learn of it late. */
        AT_NAMING
    }

    /**
     * The parameters of a simulation.
     *
     * @param seed the random seed
     * @param boundMillis how long a version may be served after a newer one was named
     * @param namedMillis when each version from 2 on is named
     * @param copiedMillis when the copies of each version from 2 on are complete; none for a version without a source
     * @param pauses when instances, agents and entries are paused
     * @param lossOfPowerMillis when an instance of three loses its power; none if none does
     */
    record Scenario(
            long seed,
            long boundMillis,
            List<Long> namedMillis,
            List<Long> copiedMillis,
            Pauses pauses,
            OptionalLong lossOfPowerMillis) {}

    private record State(long atMillis, long held, boolean open) {}

    private record Request(Entry entry, long arrivesAtMillis, long sentHeld, OptionalLong expectedVersion) {}

    private final Scenario scenario;
    private final Random random;
    private final Random knowledgeRandom;
    private final AtomicLong now = new AtomicLong(1_000_000);
    private final long startMillis = now.get();
    private final VersionMoments moments;
    private final List<Instance> instances = new ArrayList<>();
    private final List<Entry> entries = new ArrayList<>();
    private final TreeMap<Long, Long> namedAtMillis = new TreeMap<>();

    private long lastBegunMillis = startMillis;
    private long longestGapMillis;
    private long begunTooLate;
    private long stoppedTooLate;
    private long lastBegunOnFirstMillis;

    VersionBoundSimulation(Scenario scenario, int instances, int entries) {
        this.scenario = scenario;
        this.random = new Random(scenario.seed());
        this.knowledgeRandom = new Random(~scenario.seed());
        this.moments = new VersionMoments(scenario.boundMillis());
        for (int i = 0; i < instances; i++) {
            this.instances.add(new Instance(i, instances));
        }
        for (int i = 0; i < entries; i++) {
            this.entries.add(new Entry(i));
        }
    }

    long begunTooLate() {
        return begunTooLate;
    }

    /** For how many steps an endpoint could begin requests on a version past its bound although its agent had run. */
    long stoppedTooLate() {
        return stoppedTooLate;
    }

    /** The longest time in which no request began. */
    long longestGapMillis() {
        return longestGapMillis;
    }

    /** When the last request began on version 1, from the start. */
    long lastBegunOnFirstMillis() {
        return lastBegunOnFirstMillis - startMillis;
    }

    private long elapsedMillis() {
        return now.get() - startMillis;
    }

    // -- processes that learn of versions

    private class Process {

        private final int learningMillis;
        private final int knowledgeAgeMillis = knowledgeRandom.nextInt(MAX_KNOWLEDGE_AGE_MILLIS);

        /** Whether another process that was not paused tells this one when versions were named. */
        private final boolean isTold = scenario.pauses() == Pauses.AROUND_STOP || knowledgeRandom.nextBoolean();

        ViewMaintainer views = newViews();

        private Process(int learningMillis) {
            this.learningMillis = learningMillis;
            views.replace(Topic.OPERATOR, List.of(), 0);
        }

        final ViewMaintainer newViews() {
            return new ViewMaintainer(new OverlapSimulation.EmptyDecoder(), now::get);
        }

        final void learn() {
            views.confirmTargets(0, knownUntilMillis());
            namedAtMillis.forEach((version, at) -> {
                if (now.get() >= at + learningMillis) {
                    views.addPeerTarget("m", version);
                    tell(version, at);
                }
            });
        }

        private void tell(long version, long notBeforeMillis) {
            if (isTold) {
                views.apply(
                        Topic.OPERATOR,
                        new Batch(
                                List.of(),
                                0,
                                OptionalLong.empty(),
                                OptionalLong.empty(),
                                List.of(new NamingAccount("m", version, notBeforeMillis))));
            }
        }

        /** Until when the sources of this process knew of everything that was named. */
        private long knownUntilMillis() {
            long newest =
                    views.view().newestTarget("m").map(View.Target::version).orElse(1L);
            return namedAtMillis.tailMap(newest, false).values().stream()
                    .mapToLong(unknown -> Math.min(unknown, now.get()) - knowledgeAgeMillis)
                    .min()
                    .orElse(now.get() - knowledgeAgeMillis);
        }

        final View view() {
            return views.view();
        }
    }

    /** An agent with its endpoint. */
    private final class Instance extends Process {

        private final int position;
        private final int count;
        private final FakeEndpoint endpoint = new FakeEndpoint();
        private final List<Request> arriving = new ArrayList<>();
        private final List<State> states = new ArrayList<>();
        private final long pausedFromMillis;
        private final long pausedUntilMillis;
        private final boolean isPausedWhileLearning;
        private final boolean onlyAgentPaused = random.nextBoolean();
        private long busyUntilMillis;
        private ReplicaController controller;

        private Instance(int position, int count) {
            super(random.nextInt(AGENT_LEARNING_MILLIS + 1));
            this.position = position;
            this.count = count;
            endpoint.held = 1;
            for (int i = 0; i < FakeOrigin.CHUNKS; i++) {
                endpoint.staged.put(i, FakeOrigin.chunk(1, i));
            }
            boolean isPausedOnce = position % 2 == 1;
            long firstNamedMillis = startMillis + scenario.namedMillis().getFirst();
            pausedFromMillis = switch (scenario.pauses()) {
                case AROUND_STOP -> firstNamedMillis + moments.stopMillis() - MIN_PAUSE_MILLIS + random.nextInt(1_000);
                case AT_NAMING -> firstNamedMillis - knowledgeRandom.nextInt(PAUSED_BEFORE_NAMING_MILLIS);
            };
            pausedUntilMillis = isPausedOnce ? pausedFromMillis + pauseMillis() : 0;
            // Such an agent learns as late as its pause ends; the entries alone take care of its endpoint.
            isPausedWhileLearning = isPausedOnce
                    && scenario.pauses() == Pauses.AROUND_STOP
                    && pausedFromMillis - firstNamedMillis <= AGENT_LEARNING_MILLIS + CONTROLLER_STEP_MILLIS;
            startAgent();
        }

        private void startAgent() {
            controller = new ReplicaController(new ReplicaController.Dependencies(
                    () -> Optional.of("m"),
                    () -> FakeEndpoint.LAYERS,
                    endpoint,
                    new ChunkFetcher(new ChunkFetcher.Dependencies(
                            new Sources(),
                            new Sources(),
                            () -> Optional.of("origin:80"),
                            ChunkSources.cached(new Agent("a", "r"), List::of),
                            bytes -> {},
                            now::get)),
                    this::view,
                    () -> new ReplicaController.RegionPosition(position, count),
                    () -> {},
                    scenario.boundMillis(),
                    now::get));
        }

        private long pauseMillis() {
            return switch (scenario.pauses()) {
                case AROUND_STOP -> MIN_PAUSE_MILLIS + random.nextInt(MIN_PAUSE_MILLIS);
                case AT_NAMING -> AGENT_PAUSE_MILLIS;
            };
        }

        private boolean isPaused() {
            return now.get() >= pausedFromMillis && now.get() < pausedUntilMillis;
        }

        private void losePower() {
            endpoint.restart(true);
            arriving.clear();
            views = newViews();
            busyUntilMillis = 0;
            startAgent();
        }

        private void step() {
            if (isPaused() && !onlyAgentPaused) {
                return;
            }
            endpoint.busy = now.get() < busyUntilMillis;
            beginArrived();
            if (!isPaused() && elapsedMillis() % CONTROLLER_STEP_MILLIS == 0) {
                learn();
                addCopies();
                stepController();
            }
            boolean agentRan = now.get() > pausedUntilMillis + 2 * CONTROLLER_STEP_MILLIS && !isPausedWhileLearning;
            if (agentRan && !endpoint.busy && endpoint.held > 0 && isPastBound(endpoint.held)) {
                stoppedTooLate++;
            }
            State state = new State(
                    now.get(), endpoint.held, endpoint.held > 0 && !endpoint.busy && !controller.isCordoned());
            if (states.isEmpty() || !isSame(states.getLast(), state)) {
                states.add(state);
            }
        }

        private boolean isSame(State left, State right) {
            return left.held() == right.held() && left.open() == right.open();
        }

        private void stepController() {
            int orders = endpoint.orders.size();
            boolean serving = endpoint.held > 0;
            controller.refresh();
            controller.step();
            if (endpoint.orders.size() != orders) {
                busyUntilMillis = now.get() + (serving ? BUSY_MILLIS : IDLE_BUSY_MILLIS);
                endpoint.busy = true;
            }
        }

        private void addCopies() {
            for (int i = 0; i < scenario.copiedMillis().size(); i++) {
                long version = i + 2L;
                if (elapsedMillis() >= scenario.copiedMillis().get(i)
                        && namedAtMillis.containsKey(version)
                        && endpoint.held < version) {
                    addCopy(version);
                }
            }
        }

        /** Reading back adds the version that the endpoint reports, without a thread that fetches it. */
        private void addCopy(long version) {
            if (controller.chunkSet("m", version).isEmpty()) {
                long held = endpoint.held;
                endpoint.held = version;
                controller.refresh();
                controller.readBack();
                endpoint.held = held;
            }
            ChunkSet set = controller.chunkSet("m", version).orElseThrow();
            for (int i = 0; i < FakeOrigin.CHUNKS; i++) {
                set.put(i, FakeOrigin.chunk(version, i));
            }
        }

        /** What an entry knows that is told of each change after a delay. */
        private Optional<State> known(long delayMillis) {
            return states.stream()
                    .filter(state -> state.atMillis() <= now.get() - delayMillis)
                    .reduce((first, second) -> second);
        }

        private void beginArrived() {
            if (endpoint.busy) {
                return;
            }
            List<Request> arrived = arriving.stream()
                    .filter(request -> request.arrivesAtMillis() <= now.get())
                    .toList();
            arriving.removeAll(arrived);
            arrived.stream()
                    .filter(request -> endpoint.held > 0)
                    .filter(request -> request.expectedVersion().isEmpty()
                            || request.expectedVersion().getAsLong() == endpoint.held)
                    .forEach(request -> onBegin());
        }

        private void onBegin() {
            longestGapMillis = Math.max(longestGapMillis, now.get() - lastBegunMillis);
            lastBegunMillis = now.get();
            if (endpoint.held == 1) {
                lastBegunOnFirstMillis = now.get();
            }
            begunTooLate += isPastBound(endpoint.held) ? 1 : 0;
        }
    }

    private boolean isPastBound(long version) {
        return Optional.ofNullable(namedAtMillis.higherEntry(version))
                .filter(newer -> now.get() > newer.getValue() + scenario.boundMillis())
                .isPresent();
    }

    // -- entries

    /** An entry: applies the moments as the entries' version policy does. */
    private final class Entry extends Process {

        private final int resetMillis = random.nextInt(RESET_MILLIS + 1);
        private final int[] notifiedMillis = random.ints(instances.size(), 0, 10)
                .map(lost -> lost == 0 ? POLLED_MILLIS : NOTIFIED_MILLIS)
                .toArray();

        private final long pausedFromMillis =
                startMillis + scenario.namedMillis().getFirst() - knowledgeRandom.nextInt(PAUSED_BEFORE_NAMING_MILLIS);
        private final boolean isPausedOnce;

        private Entry(int position) {
            super(
                    scenario.pauses() == Pauses.AT_NAMING
                            ? knowledgeRandom.nextInt(MIN_UNINFORMED_MILLIS, MAX_UNINFORMED_MILLIS)
                            : random.nextInt(ENTRY_LEARNING_MILLIS + 1));
            this.isPausedOnce = scenario.pauses() == Pauses.AT_NAMING && position % 2 == 1;
        }

        private boolean isPaused() {
            return isPausedOnce && now.get() >= pausedFromMillis && now.get() < pausedFromMillis + ENTRY_PAUSE_MILLIS;
        }

        private void step() {
            if (isPaused()) {
                return;
            }
            learn();
            for (int i = 0; i < REQUESTS_PER_STEP; i++) {
                send(random.nextInt(instances.size()));
            }
            instances.forEach(this::cancel);
        }

        private void send(int index) {
            Instance instance = instances.get(index);
            Optional<State> known = instance.known(notifiedMillis[index]);
            long required = view().minVersion("m", moments.requireMillis(), now.get());
            if (known.isEmpty() || !known.get().open() || known.get().held() < required) {
                return;
            }
            long held = known.get().held();
            boolean queries = view().nextTarget("m", held)
                    .filter(newer -> now.get() - newer.namedAtMillis() >= moments.queryMillis())
                    .isPresent();
            if (queries && instance.isPaused()) {
                return;
            }
            OptionalLong expected = required == 0 ? OptionalLong.empty() : OptionalLong.of(Math.max(required, held));
            instance.arriving.add(new Request(this, now.get() + 1 + random.nextInt(TRANSIT_MILLIS), held, expected));
        }

        private void cancel(Instance instance) {
            instance.arriving.removeIf(request -> request.entry() == this
                    && view().nextTarget("m", request.sentHeld())
                            .filter(newer -> now.get() >= newer.namedAtMillis() + moments.cancelMillis() + resetMillis)
                            .isPresent());
        }
    }

    /** Knows the digests of all versions. Chunks are added by the simulation. */
    private static final class Sources implements WeightOrigin, ChunkPeers {

        @Override
        public Result<List<String>> digests(String address, String model, long version) {
            return Result.success(FakeOrigin.emptySet(version).digests());
        }

        @Override
        public Result<byte[]> chunk(String address, String model, long version, int index) {
            return Result.failure(Fault.of(Fault.Step.FETCH, address, Fault.Reason.NOT_FOUND, "none"));
        }

        @Override
        public Result<IndexedChunk> fetchAnyOf(String agent, String model, long version, BitSet wanted) {
            return Result.failure(Fault.of(Fault.Step.FETCH, agent, Fault.Reason.NOT_FOUND, "none"));
        }
    }

    // -- simulation

    void run(long millis) {
        for (; elapsedMillis() < millis; now.addAndGet(STEP_MILLIS)) {
            for (int i = 0; i < scenario.namedMillis().size(); i++) {
                if (elapsedMillis() >= scenario.namedMillis().get(i)) {
                    namedAtMillis.putIfAbsent(i + 2L, now.get());
                }
            }
            scenario.lossOfPowerMillis().ifPresent(at -> {
                if (elapsedMillis() == at) {
                    instances.stream()
                            .filter(instance -> instance.position % 3 == 0)
                            .forEach(Instance::losePower);
                }
            });
            instances.forEach(Instance::step);
            entries.forEach(Entry::step);
        }
        longestGapMillis = Math.max(longestGapMillis, now.get() - lastBegunMillis);
    }
}
