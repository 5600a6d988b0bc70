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

/**
 * Tests, with a simulated clock, how long an entry takes to learn that an endpoint is gone, from the store or from
 * peers when the store fails.
 */
class RemovalDelayTest {

    /** The time after which a draining endpoint must get no new requests, with its default value. */
    private static final long BOUND_MILLIS = 2_000;

    private static final long ROUND_TRIP_MILLIS = 10;

    /** How often another endpoint writes its entry. */
    private static final long WRITE_INTERVAL_MILLIS = 400;

    private static final long REMOVED_AT_MILLIS = 25 * WRITE_INTERVAL_MILLIS;

    /** The step between the tested start times of a failure, which is much shorter than any timeout. */
    private static final long STEP_MILLIS = 70;

    /** What keeps an entry from reading the store. */
    private enum Failure {
        NONE,
        /** Open connections stop responding; new connections work. */
        UNRESPONSIVE_CONNECTION,
        /** The store refuses requests of this process at once, and serves other processes. */
        REFUSED,
        /** The store does not respond to this process, and serves other processes. */
        UNRESPONSIVE_STORE,
        /** Each response takes half a second. */
        SLOW
    }

    /** An entry with a store and peers whose responses take time on a shared clock. */
    private static final class SimulatedEntry implements TopicReader {

        /** The offset of the first record after the list of endpoints. */
        private static final long FIRST_OFFSET = 3;

        private final Failure failure;
        private final long failsAtMillis;
        private final boolean firstPeerDown;
        private final ViewMaintainer views;
        private final StoreFollower follower;
        private long nowMillis;
        private boolean removed;
        private long removedAtMillis;
        private boolean reconnected;

        private SimulatedEntry(Failure failure, long startedMillis, long failsAtMillis, boolean firstPeerDown) {
            this.failure = failure;
            this.nowMillis = startedMillis;
            this.failsAtMillis = failsAtMillis;
            this.firstPeerDown = firstPeerDown;
            this.views = new ViewMaintainer(new StoreRecords(), () -> nowMillis);
            this.follower = new StoreFollower(
                    Topic.ENDPOINTS,
                    this,
                    views,
                    topic -> queryPeers(),
                    DrainTimeBudget.pollTiming(Duration.ofMillis(BOUND_MILLIS)));
        }

        /** The time between the removal of the endpoint's entry and its removal from the view. */
        private long delayMillis() {
            long pause = follower.readOnce();
            while (views.view().endpoints().containsKey("a")) {
                advance(pause);
                pause = follower.readOnce();
                assertTrue(nowMillis < REMOVED_AT_MILLIS + 20_000, "the entry never learns of the removal");
            }
            return (removed ? removedAtMillis : nowMillis) - REMOVED_AT_MILLIS;
        }

        /** Advances the clock. Anything in the view at this point was known before the clock advances. */
        private void advance(long millis) {
            if (!removed
                    && nowMillis >= REMOVED_AT_MILLIS
                    && !views.view().endpoints().containsKey("a")) {
                removed = true;
                removedAtMillis = nowMillis;
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

        private boolean isFailing() {
            return nowMillis >= failsAtMillis;
        }

        /**
         * The records that the store has at a given time, from an offset on: entries of another endpoint, and one
         * removal.
         */
        private static Batch recordsFrom(long offset, long atMillis) {
            List<StoredRecord> records = new ArrayList<>();
            for (long next = offset; writtenAtMillis(next) <= atMillis; next++) {
                records.add(writtenAtMillis(next) == REMOVED_AT_MILLIS ? record("a", next, "") : endpoint("b", next));
            }
            return new Batch(records, offset + records.size());
        }

        private static long writtenAtMillis(long offset) {
            return (offset - FIRST_OFFSET) * WRITE_INTERVAL_MILLIS;
        }

        private <T> Result<T> failure(Reason reason, long afterMillis) {
            advance(afterMillis);
            return Result.failure(Fault.of(Fault.Step.LOG, "store", reason, failure.toString()));
        }

        @Override
        public Result<Batch> readLatest(Topic topic) {
            advance(ROUND_TRIP_MILLIS);
            return Result.success(
                    new Batch(List.of(endpoint("a", 0), endpoint("b", 1), endpoint("c", 2)), FIRST_OFFSET));
        }

        @Override
        public Result<Read> read(Topic topic, long from, Duration wait) {
            long timeout = wait.plus(DrainTimeBudget.STORE_RESPONSE_TIMEOUT).toMillis();
            long respondsAt = respondsAtMillis(from, wait);
            boolean failsDuringRead = failsAtMillis > nowMillis && failsAtMillis <= respondsAt;
            if (failsDuringRead || isFailing()) {
                switch (failure) {
                    case UNRESPONSIVE_CONNECTION -> {
                        if (!reconnected) {
                            reconnected = true;
                            return failure(Reason.TIMEOUT, timeout);
                        }
                    }
                    case UNRESPONSIVE_STORE -> {
                        return failure(Reason.TIMEOUT, timeout);
                    }
                    case REFUSED -> {
                        return failure(Reason.OVERLOADED, Math.max(0, failsAtMillis - nowMillis) + ROUND_TRIP_MILLIS);
                    }
                    case SLOW -> respondsAt += 500;
                    case NONE -> {}
                }
            }
            advance(respondsAt - nowMillis);
            return Result.success(new Read.Records(recordsFrom(from, nowMillis)));
        }

        /** When the store responds to a read that is sent now: with the next record, or at the end of the hold. */
        private long respondsAtMillis(long from, Duration wait) {
            long heldUntil = Math.clamp(writtenAtMillis(from), nowMillis, nowMillis + wait.toMillis());
            return heldUntil + ROUND_TRIP_MILLIS;
        }

        private void queryPeers() {
            advance((firstPeerDown ? DrainTimeBudget.PEER_RESPONSE_TIMEOUT.toMillis() : 0) + ROUND_TRIP_MILLIS);
            Batch batch = recordsFrom(views.end(Topic.ENDPOINTS), nowMillis);
            views.apply(Topic.ENDPOINTS, batch.records(), batch.end());
        }
    }

    private static long maxDelayMillis(Failure failure, boolean firstPeerDown) {
        return times(0, 1_500)
                .flatMap(started -> times(REMOVED_AT_MILLIS - 3_000, REMOVED_AT_MILLIS + 1_000)
                        .map(at -> new SimulatedEntry(failure, started, at, firstPeerDown).delayMillis()))
                .max()
                .orElseThrow();
    }

    private static LongStream times(long first, long last) {
        return LongStream.iterate(first, time -> time <= last, time -> time + STEP_MILLIS);
    }

    private static void assertWithinBound(Failure failure) {
        for (boolean firstPeerDown : new boolean[] {false, true}) {
            long maxDelay = maxDelayMillis(failure, firstPeerDown);
            assertTrue(
                    maxDelay <= BOUND_MILLIS, failure + ", first peer down " + firstPeerDown + ": " + maxDelay + " ms");
        }
    }

    @Test
    void shouldLearnOfRemovalWithinBoundWhenStoreResponds() {
        assertWithinBound(Failure.NONE);
    }

    @Test
    void shouldLearnOfRemovalWithinBoundWhenStoreRefusesThisProcess() {
        assertWithinBound(Failure.REFUSED);
    }

    @Test
    void shouldLearnOfRemovalWithinBoundWhenStoreStopsResponding() {
        assertWithinBound(Failure.UNRESPONSIVE_CONNECTION);
        assertWithinBound(Failure.UNRESPONSIVE_STORE);
    }

    @Test
    void shouldLearnOfRemovalWithinBoundWhenStoreIsSlow() {
        assertWithinBound(Failure.SLOW);
    }

    /**
     * A store that was unreachable for all endpoints: the entries of two of three endpoints expired, and one of the two
     * is written again.
     */
    private static final class ExpiredEntries implements TopicReader {

        private long nowMillis = REMOVED_AT_MILLIS;
        private int reads;
        private ViewMaintainer views;
        private long removedAtMillis = Long.MAX_VALUE;

        private void advance(long millis) {
            if (reads > 1 && !views.view().endpoints().containsKey("a")) {
                removedAtMillis = Math.min(removedAtMillis, nowMillis);
            }
            nowMillis += millis;
        }

        @Override
        public Result<Batch> readLatest(Topic topic) {
            return Result.success(new Batch(
                    List.of(
                            SimulatedEntry.endpoint("a", 0),
                            SimulatedEntry.endpoint("b", 1),
                            SimulatedEntry.endpoint("c", 2)),
                    3));
        }

        @Override
        public Result<Read> read(Topic topic, long from, Duration wait) {
            return switch (++reads) {
                case 1 -> Result.failure(Fault.of(Fault.Step.LOG, "store", Reason.OVERLOADED, "unreachable"));
                case 2 ->
                    Result.success(new Read.Records(new Batch(
                            List.of(
                                    SimulatedEntry.record("a", 3, ""),
                                    SimulatedEntry.record("b", 4, ""),
                                    SimulatedEntry.endpoint("b", 5)),
                            6)));
                default -> {
                    advance(wait.toMillis() + ROUND_TRIP_MILLIS);
                    yield Result.success(new Read.Records(new Batch(List.of(), from)));
                }
            };
        }

        @Override
        public boolean hasPeerUpdates(Topic topic) {
            return true;
        }
    }

    @Test
    void shouldRemoveEndpointWhenPendingRemovalIsDueBetweenReads() {
        ExpiredEntries store = new ExpiredEntries();
        ViewMaintainer views = new ViewMaintainer(new StoreRecords(), () -> store.nowMillis);
        store.views = views;
        StoreFollower follower = new StoreFollower(
                Topic.ENDPOINTS,
                store,
                views,
                topic -> {},
                DrainTimeBudget.pollTiming(Duration.ofMillis(BOUND_MILLIS)));
        store.advance(follower.readOnce());
        store.advance(follower.readOnce());
        long regained = store.nowMillis;
        store.advance(follower.readOnce());
        assertTrue(views.view().endpoints().containsKey("a"), "the removal is pending at first");
        while (views.view().endpoints().containsKey("a")) {
            store.advance(follower.readOnce());
        }
        long maxDelay = PendingRemovals.REMOVAL_DELAY_MILLIS + 2 * ROUND_TRIP_MILLIS;
        store.advance(0);
        assertTrue(store.removedAtMillis - regained <= maxDelay, "after " + (store.removedAtMillis - regained) + " ms");
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 1, 500, 1_600, 2_000, 10_000})
    void shouldHoldReadsForAnyBound(long boundMillis) {
        assertTrue(DrainTimeBudget.pollTiming(Duration.ofMillis(boundMillis))
                        .hold()
                        .toMillis()
                >= 100);
    }
}
