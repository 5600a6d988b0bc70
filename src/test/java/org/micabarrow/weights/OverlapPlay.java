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
import org.micabarrow.routing.EndpointEntry;
import org.micabarrow.state.Digest;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Result;
import org.micabarrow.views.RecordDecoder;
import org.micabarrow.views.StoredRecord;
import org.micabarrow.views.ViewKeeper;
import org.micabarrow.weights.ChunkSources.Agent;

/**
 * Plays a fleet on which two versions are named one after the other while the origin is away for a window, in steps of a clock of
 * its own, without a network. Keepers and what chooses are the real ones; how chunks go from agent to agent is a plain model: each
 * link carries so many a step, the origin gives each chunk once, and an agent asks a few others at random for what it lacks.
 */
final class OverlapPlay {

    static final long BOUND = 8_000;
    static final int CHUNKS = 64;
    private static final int STEP_MILLIS = 50;
    private static final long BEFORE_MILLIS = 1_000;
    private static final long PLAY_MILLIS = 18_000;
    private static final int PEERS_ASKED = 6;

    /** For how long an endpoint is busy with an order: while its requests end, or while it only warms up. */
    private static final long BUSY_SERVING_MILLIS = 1_300;

    private static final long BUSY_IDLE_MILLIS = 300;
    private static final Map<Long, List<String>> DIGESTS = new ConcurrentHashMap<>();

    /**
     * A day.
     *
     * @param seed for what comes by chance
     * @param agents how many there are
     * @param chunkMillis how long a chunk takes on an agent's link; half as long on the origin's
     * @param thirdAfterMillis when version 3 is named, after version 2
     * @param awayFromMillis when the origin goes away, after version 2 was named
     * @param awayMillis for how long
     * @param trouble the chance a step that some agent starts again or stands still
     */
    record Day(
            long seed,
            int agents,
            double chunkMillis,
            long thirdAfterMillis,
            long awayFromMillis,
            long awayMillis,
            double trouble) {

        static Day of(long seed) {
            // The first draws of neighbouring seeds are alike otherwise.
            SplittableRandom random = new SplittableRandom(seed);
            int agents = (int) Math.round(4 * Math.pow(75, random.nextDouble()));
            double mbits = 2 * Math.pow(20, random.nextDouble());
            return new Day(
                    seed,
                    agents,
                    262 / mbits,
                    100 + random.nextInt(7_900),
                    random.nextInt(9_000),
                    random.nextInt(9_000),
                    random.nextInt(3) == 0 ? 0.02 : 0);
        }
    }

    /** Which version an agent fetches; 0 for none. */
    interface Policy {
        long version(Member member);
    }

    private final Day day;
    private final Policy policy;
    private final Random random;
    private final AtomicLong now = new AtomicLong(1_000_000);
    private final ViewKeeper views = new ViewKeeper(new NoRecords(), now::get);
    private final List<Member> members = new ArrayList<>();
    private final Map<Long, BitSet> left = Map.of(2L, new BitSet(), 3L, new BitSet());
    private double originCredit;
    private long secondNamed;
    private long served;
    int chunksOfOrigin;

    OverlapPlay(Day day, Policy policy) {
        this.day = day;
        this.policy = policy;
        this.random = new Random(day.seed());
        for (int i = 0; i < day.agents(); i++) {
            members.add(new Member(i));
        }
    }

    /** Reads nothing: versions are told to the keeper directly. */
    static final class NoRecords implements RecordDecoder {

        @Override
        public boolean isManifest(String key) {
            return false;
        }

        @Override
        public Result<OperatorRecord> operator(StoredRecord record) {
            return Result.success(new OperatorRecord.Unused());
        }

        @Override
        public Result<EndpointEntry> endpoint(StoredRecord record) {
            return none();
        }
    }

    private static <T> Result<T> none() {
        return Result.failure(Fault.of(Fault.Step.FETCH, "nobody", Fault.Reason.NOT_FOUND, "none"));
    }

    /** Tells digests; chunks are put into sets by the play. */
    private record Digests(boolean ofKeeper) implements WeightOrigin {

        @Override
        public Result<List<String>> digests(String address, String model, long version) {
            return Result.success(ofKeeper ? FakeOrigin.emptySet(version).digests() : digestsOf(version));
        }

        @Override
        public Result<byte[]> chunk(String address, String model, long version, int index) {
            return none();
        }
    }

    private static List<String> digestsOf(long version) {
        return DIGESTS.computeIfAbsent(
                version,
                which -> IntStream.range(0, CHUNKS)
                        .mapToObj(index -> Digest.of(FakeOrigin.chunk(which, index)))
                        .toList());
    }

    private record NoPeers() implements ChunkPeers {

        @Override
        public Result<List<String>> digests(String agent, String model, long version) {
            return none();
        }

        @Override
        public Result<Numbered> anyOf(String agent, String model, long version, BitSet wanted) {
            return none();
        }
    }

    // -- an agent with its endpoint

    /** An agent with its endpoint. */
    final class Member {

        final FakeEndpoint endpoint = new FakeEndpoint();
        final VersionDeadlines deadlines =
                new VersionDeadlines(views::view, () -> FakeEndpoint.LAYERS, BOUND, now::get);
        private final int place;
        VersionFetches fetches;
        Optional<FetchProgress> progress = Optional.empty();
        boolean onOlder;
        private ReplicaController keeper;
        private double down;
        private double up;
        private long busyUntil;
        private long standsUntil;
        private long fetched;
        private long firstHeld = 1;

        private Member(int place) {
            this.place = place;
            endpoint.held = 1;
            for (int i = 0; i < FakeOrigin.CHUNKS; i++) {
                endpoint.staged.put(i, FakeOrigin.chunk(1, i));
            }
            startAgent();
        }

        private void startAgent() {
            keeper = new ReplicaController(new ReplicaController.Parts(
                    () -> Optional.of("m"),
                    () -> FakeEndpoint.LAYERS,
                    endpoint,
                    fetcher(true),
                    views::view,
                    () -> new ReplicaController.Place(place, day.agents()),
                    () -> {},
                    BOUND,
                    now::get));
            fetches = new VersionFetches(fetcher(false), deadlines, now::get);
            progress = Optional.empty();
            onOlder = false;
        }

        private ChunkFetcher fetcher(boolean ofKeeper) {
            return new ChunkFetcher(new ChunkFetcher.Parts(
                    new NoPeers(),
                    new Digests(ofKeeper),
                    () -> Optional.of("origin:80"),
                    ChunkSources.following(new Agent("a", "r"), List::of),
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
            return now.get() - secondNamed;
        }

        long newest() {
            return deadlines.newest("m");
        }

        ChunkSet set(long version) {
            return fetches.setFor("m", version).toOptional().orElseThrow();
        }

        private boolean stands() {
            return now.get() < standsUntil;
        }

        private boolean serves() {
            return endpoint.held > 0 && !endpoint.busy && !keeper.closing() && !stands();
        }

        private void take(long version, int index) {
            set(version).put(index, FakeOrigin.chunk(version, index));
            int group = index * FakeOrigin.CHUNKS / CHUNKS;
            int size = CHUNKS / FakeOrigin.CHUNKS;
            if (set(version).hasAll(group * size, (group + 1) * size)) {
                keeperSet(version).put(group, FakeOrigin.chunk(version, group));
            }
        }

        /** Begins a version in the keeper without a thread that fetches: reading back begins what the endpoint says it holds. */
        private ChunkSet keeperSet(long version) {
            if (keeper.set("m", version).isEmpty()) {
                long held = endpoint.held;
                endpoint.held = version;
                keeper.refresh();
                keeper.readBack();
                endpoint.held = held;
                keeper.refresh();
            }
            return keeper.set("m", version).orElseThrow();
        }

        private void step() {
            endpoint.busy = now.get() < busyUntil;
            int orders = endpoint.orders.size();
            boolean served = serves() || keeper.closing() && endpoint.held > 0;
            keeper.refresh();
            keeper.step();
            if (endpoint.orders.size() > orders) {
                busyUntil = now.get() + (served ? BUSY_SERVING_MILLIS : BUSY_IDLE_MILLIS);
                endpoint.busy = true;
            }
            firstHeld = Math.max(firstHeld, endpoint.held);
            check();
        }

        private void check() {
            long least = views.view().leastVersion("m", BOUND, now.get());
            if (endpoint.held != 0 && !endpoint.busy && endpoint.held < least) {
                throw new AssertionError("serves " + endpoint.held + " when " + least + " is due: " + day);
            }
            if (endpoint.held != 0 && endpoint.held < firstHeld) {
                throw new AssertionError("back to " + endpoint.held + " from " + firstHeld + ": " + day);
            }
            if (endpoint.servesWrongLayer()) {
                throw new AssertionError("a layer that was not whole serves: " + day);
            }
        }

        private void trouble() {
            if (random.nextBoolean()) {
                endpoint.startAgain(random.nextBoolean());
                firstHeld = 0;
                startAgent();
            } else {
                standsUntil = now.get() + random.nextInt(6_000);
            }
        }
    }

    // -- the play

    /** Plays; the part of the endpoints' time in which they served. */
    double service() {
        long end = now.get() + BEFORE_MILLIS + PLAY_MILLIS;
        secondNamed = now.get() + BEFORE_MILLIS;
        int steps = 0;
        for (; now.get() < end; now.addAndGet(STEP_MILLIS)) {
            if (now.get() == secondNamed) {
                views.want("m", 2);
            }
            if (now.get() >= secondNamed + day.thirdAfterMillis()
                    && views.view().newestTarget("m").stream().allMatch(target -> target.version() < 3)) {
                views.want("m", 3);
            }
            if (random.nextDouble() < day.trouble()) {
                members.get(random.nextInt(members.size())).trouble();
            }
            step();
            steps++;
        }
        return (double) served / ((long) steps * members.size());
    }

    private void step() {
        originCredit = Math.min(4, originCredit + STEP_MILLIS * 2 / day.chunkMillis());
        for (Member member : members) {
            member.down = credit(member.down);
            member.up = credit(member.up);
            if (!member.stands()) {
                member.fetched = member.held() >= member.newest() ? 0 : policy.version(member);
            }
        }
        int first = random.nextInt(members.size());
        for (int round = 0; round < STEP_MILLIS / 5; round++) {
            boolean moved = false;
            for (int i = 0; i < members.size(); i++) {
                moved |= fetchOne(members.get((first + i) % members.size()));
            }
            if (!moved) {
                break;
            }
        }
        for (Member member : members) {
            if (!member.stands()) {
                member.step();
            }
            served += member.serves() ? 1 : 0;
        }
    }

    private double credit(double before) {
        double more = STEP_MILLIS / day.chunkMillis();
        return Math.min(Math.max(1, more), before + more);
    }

    private boolean originAnswers() {
        long since = now.get() - secondNamed;
        return since < day.awayFromMillis() || since >= day.awayFromMillis() + day.awayMillis();
    }

    private boolean fetchOne(Member member) {
        if (member.fetched < 2 || member.stands() || member.down < 1) {
            return false;
        }
        ChunkSet set = member.set(member.fetched);
        BitSet missing = new BitSet();
        IntStream.range(0, CHUNKS).filter(i -> set.chunk(i).isEmpty()).forEach(missing::set);
        if (missing.isEmpty()) {
            return false;
        }
        return fromPeer(member, set, missing) || fromOrigin(member, missing);
    }

    private boolean fromPeer(Member member, ChunkSet set, BitSet missing) {
        for (int i = 0; i < PEERS_ASKED; i++) {
            Member peer = members.get(random.nextInt(members.size()));
            Optional<ChunkSet> theirs = peer.fetches.set("m", set.version());
            if (peer == member || peer.up < 1 || peer.stands() || theirs.isEmpty()) {
                continue;
            }
            int index = oneOf(theirs.get(), missing);
            if (index >= 0) {
                peer.up--;
                member.down--;
                member.take(set.version(), index);
                return true;
            }
        }
        return false;
    }

    private int oneOf(ChunkSet theirs, BitSet missing) {
        int start = random.nextInt(CHUNKS);
        return IntStream.range(0, CHUNKS)
                .map(i -> (start + i) % CHUNKS)
                .filter(i -> missing.get(i) && theirs.chunk(i).isPresent())
                .findFirst()
                .orElse(-1);
    }

    /** A chunk that has not left the origin, or that nobody has any more. */
    private boolean fromOrigin(Member member, BitSet missing) {
        if (!originAnswers() || originCredit < 1) {
            return false;
        }
        BitSet gone = left.get(member.fetched);
        for (int i = missing.nextSetBit(0); i >= 0; i = missing.nextSetBit(i + 1)) {
            int index = i;
            if (!gone.get(i) || day.trouble() > 0 && nobodyHas(member.fetched, index)) {
                gone.set(i);
                originCredit--;
                member.down--;
                chunksOfOrigin++;
                member.take(member.fetched, i);
                return true;
            }
        }
        return false;
    }

    private boolean nobodyHas(long version, int index) {
        return members.stream()
                .filter(one -> !one.stands())
                .noneMatch(one -> one.fetches
                        .set("m", version)
                        .flatMap(set -> set.chunk(index))
                        .isPresent());
    }
}
