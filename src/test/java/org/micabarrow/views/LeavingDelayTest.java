package org.micabarrow.views;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.micabarrow.platform.StoreRecords;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Fault.Reason;
import org.micabarrow.state.Result;
import org.micabarrow.views.TopicReader.Batch;
import org.micabarrow.views.TopicReader.Read;

/** How long an entry takes to learn from the store, or from peers in its place, that an endpoint is gone; by a clock that is moved. */
class LeavingDelayTest {

    /** Within which an endpoint that leaves must get nothing new, as operators set it by default. */
    private static final long BOUND_MILLIS = 2_000;

    private static final long ROUND_TRIP_MILLIS = 10;

    /** How often another endpoint writes its entry. */
    private static final long WRITTEN_EVERY_MILLIS = 400;

    private static final long GONE_AT_MILLIS = 25 * WRITTEN_EVERY_MILLIS;

    /** Between two moments at which a trouble is tried to begin: less than any time limit by far. */
    private static final long STEP_MILLIS = 70;

    /** What keeps an entry from hearing the store. */
    private enum Trouble {
        NONE,
        /** The connections that are open fall silent; new ones work. */
        SILENT_CONNECTION,
        /** The store refuses this process at once, and serves the others. */
        REFUSED,
        /** The store is silent towards this process, and serves the others. */
        SILENT_STORE,
        /** Each answer takes half a second. */
        SLOW
    }

    /** An entry with a store and peers that take time on one clock. */
    private static final class Entry implements TopicReader {

        /** The offset of the first record after the list of endpoints. */
        private static final long LISTED = 3;

        private final Trouble trouble;
        private final long troubleAtMillis;
        private final boolean firstPeerDead;
        private final ViewMaintainer keeper;
        private final StoreFollower follower;
        private long nowMillis;
        private boolean known;
        private long knownAtMillis;
        private boolean newConnection;

        private Entry(Trouble trouble, long startedMillis, long troubleAtMillis, boolean firstPeerDead) {
            this.trouble = trouble;
            this.nowMillis = startedMillis;
            this.troubleAtMillis = troubleAtMillis;
            this.firstPeerDead = firstPeerDead;
            this.keeper = new ViewMaintainer(new StoreRecords(), () -> nowMillis);
            this.follower = new StoreFollower(
                    Topic.ENDPOINTS,
                    this,
                    keeper,
                    topic -> askPeers(),
                    DrainTimeBudget.pace(Duration.ofMillis(BOUND_MILLIS)));
        }

        /** How long after the endpoint's entry went the entry believes it. */
        private long delayMillis() {
            long rest = follower.once();
            while (keeper.view().endpoints().containsKey("a")) {
                pass(rest);
                rest = follower.once();
                assertTrue(nowMillis < GONE_AT_MILLIS + 20_000, "it never learns of it");
            }
            return (known ? knownAtMillis : nowMillis) - GONE_AT_MILLIS;
        }

        /** Moves the clock; what the entry knows before it does so it knew at the moment before. */
        private void pass(long millis) {
            if (!known
                    && nowMillis >= GONE_AT_MILLIS
                    && !keeper.view().endpoints().containsKey("a")) {
                known = true;
                knownAtMillis = nowMillis;
            }
            nowMillis += millis;
        }

        private static StoredRecord record(String id, long offset, String value) {
            return new StoredRecord(id, offset, value.getBytes(StandardCharsets.UTF_8));
        }

        private static StoredRecord endpoint(String id, long offset) {
            String text =
                    "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"slots\":4,\"state\":\"ready\"}";
            return record(id, offset, text);
        }

        private boolean troubled() {
            return nowMillis >= troubleAtMillis;
        }

        /** The records from an offset on that the store has at a moment: another endpoint's, and in one of their places the drop. */
        private static Batch from(long offset, long atMillis) {
            List<StoredRecord> records = new ArrayList<>();
            for (long next = offset; writtenMillis(next) <= atMillis; next++) {
                records.add(writtenMillis(next) == GONE_AT_MILLIS ? record("a", next, "") : endpoint("b", next));
            }
            return new Batch(records, offset + records.size());
        }

        private static long writtenMillis(long offset) {
            return (offset - LISTED) * WRITTEN_EVERY_MILLIS;
        }

        private <T> Result<T> failed(Reason reason, long afterMillis) {
            pass(afterMillis);
            return Result.failure(Fault.of(Fault.Step.LOG, "store", reason, trouble.toString()));
        }

        @Override
        public Result<Batch> newest(Topic topic) {
            pass(ROUND_TRIP_MILLIS);
            return Result.success(new Batch(List.of(endpoint("a", 0), endpoint("b", 1), endpoint("c", 2)), LISTED));
        }

        @Override
        public Result<Read> read(Topic topic, long from, Duration wait) {
            long silence = wait.plus(DrainTimeBudget.STORE_ANSWER).toMillis();
            long answered = answeredMillis(from, wait);
            boolean begins = troubleAtMillis > nowMillis && troubleAtMillis <= answered;
            if (begins || troubled()) {
                switch (trouble) {
                    case SILENT_CONNECTION -> {
                        if (!newConnection) {
                            newConnection = true;
                            return failed(Reason.TIMEOUT, silence);
                        }
                    }
                    case SILENT_STORE -> {
                        return failed(Reason.TIMEOUT, silence);
                    }
                    case REFUSED -> {
                        return failed(Reason.OVERLOADED, Math.max(0, troubleAtMillis - nowMillis) + ROUND_TRIP_MILLIS);
                    }
                    case SLOW -> answered += 500;
                    case NONE -> {}
                }
            }
            pass(answered - nowMillis);
            return Result.success(new Read.Records(from(from, nowMillis)));
        }

        /** When the store answers a read that is sent now: with the next record, or when it has held it for long enough. */
        private long answeredMillis(long from, Duration wait) {
            long held = Math.clamp(writtenMillis(from), nowMillis, nowMillis + wait.toMillis());
            return held + ROUND_TRIP_MILLIS;
        }

        private void askPeers() {
            pass((firstPeerDead ? DrainTimeBudget.PEER_ANSWER.toMillis() : 0) + ROUND_TRIP_MILLIS);
            Batch batch = from(keeper.end(Topic.ENDPOINTS), nowMillis);
            keeper.apply(Topic.ENDPOINTS, batch.records(), batch.end());
        }
    }

    private static long worstMillis(Trouble trouble, boolean firstPeerDead) {
        return moments(0, 1_500)
                .flatMap(started -> moments(GONE_AT_MILLIS - 3_000, GONE_AT_MILLIS + 1_000)
                        .map(at -> new Entry(trouble, started, at, firstPeerDead).delayMillis()))
                .max()
                .orElseThrow();
    }

    private static LongStream moments(long first, long last) {
        return LongStream.iterate(first, moment -> moment <= last, moment -> moment + STEP_MILLIS);
    }

    private static void assertWithinBound(Trouble trouble) {
        for (boolean firstPeerDead : new boolean[] {false, true}) {
            long worst = worstMillis(trouble, firstPeerDead);
            assertTrue(worst <= BOUND_MILLIS, trouble + ", first peer dead " + firstPeerDead + ": " + worst + " ms");
        }
    }

    @Test
    void shouldKnowWithinBoundWhenStoreIsWell() {
        assertWithinBound(Trouble.NONE);
    }

    @Test
    void shouldKnowWithinBoundWhenStoreRefusesThisProcess() {
        assertWithinBound(Trouble.REFUSED);
    }

    @Test
    void shouldKnowWithinBoundWhenStoreFallsSilent() {
        assertWithinBound(Trouble.SILENT_CONNECTION);
        assertWithinBound(Trouble.SILENT_STORE);
    }

    @Test
    void shouldKnowWithinBoundWhenStoreIsSlow() {
        assertWithinBound(Trouble.SLOW);
    }

    /** A store that was away for all: the entries of two endpoints of three lapsed, and one of them writes again. */
    private static final class LapsedEntries implements TopicReader {

        private long nowMillis = GONE_AT_MILLIS;
        private int reads;
        private ViewMaintainer keeper;
        private long knownAtMillis = Long.MAX_VALUE;

        private void pass(long millis) {
            if (reads > 1 && !keeper.view().endpoints().containsKey("a")) {
                knownAtMillis = Math.min(knownAtMillis, nowMillis);
            }
            nowMillis += millis;
        }

        @Override
        public Result<Batch> newest(Topic topic) {
            return Result.success(
                    new Batch(List.of(Entry.endpoint("a", 0), Entry.endpoint("b", 1), Entry.endpoint("c", 2)), 3));
        }

        @Override
        public Result<Read> read(Topic topic, long from, Duration wait) {
            return switch (++reads) {
                case 1 -> Result.failure(Fault.of(Fault.Step.LOG, "store", Reason.OVERLOADED, "it is away"));
                case 2 ->
                    Result.success(new Read.Records(new Batch(
                            List.of(Entry.record("a", 3, ""), Entry.record("b", 4, ""), Entry.endpoint("b", 5)), 6)));
                default -> {
                    pass(wait.toMillis() + ROUND_TRIP_MILLIS);
                    yield Result.success(new Read.Records(new Batch(List.of(), from)));
                }
            };
        }

        @Override
        public boolean peersTell(Topic topic) {
            return true;
        }
    }

    @Test
    void shouldTakeEndpointForGoneWhenDoubtEndsBetweenReads() {
        LapsedEntries store = new LapsedEntries();
        ViewMaintainer keeper = new ViewMaintainer(new StoreRecords(), () -> store.nowMillis);
        store.keeper = keeper;
        StoreFollower follower = new StoreFollower(
                Topic.ENDPOINTS, store, keeper, topic -> {}, DrainTimeBudget.pace(Duration.ofMillis(BOUND_MILLIS)));
        store.pass(follower.once());
        store.pass(follower.once());
        long regained = store.nowMillis;
        store.pass(follower.once());
        assertTrue(keeper.view().endpoints().containsKey("a"), "it is doubted first");
        while (keeper.view().endpoints().containsKey("a")) {
            store.pass(follower.once());
        }
        long most = DropDoubts.DOUBT_MILLIS + 2 * ROUND_TRIP_MILLIS;
        store.pass(0);
        assertTrue(store.knownAtMillis - regained <= most, "after " + (store.knownAtMillis - regained) + " ms");
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 1, 500, 1_600, 2_000, 10_000})
    void shouldHoldReadsWhateverTheBound(long boundMillis) {
        assertTrue(DrainTimeBudget.pace(Duration.ofMillis(boundMillis)).hold().toMillis() >= 100);
    }
}
