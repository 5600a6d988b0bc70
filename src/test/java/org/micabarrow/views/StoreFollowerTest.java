package org.micabarrow.views;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Test;
import org.micabarrow.Await;
import org.micabarrow.platform.StoreRecords;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Result;
import org.micabarrow.views.TopicReader.Batch;
import org.micabarrow.views.TopicReader.Read;

/**
 * Tests when the store is read and when peers are queried during outages, with expired history and with lost responses.
 */
class StoreFollowerTest {

    private final AtomicLong now = new AtomicLong(1_000_000);
    private final ViewMaintainer views = new ViewMaintainer(new StoreRecords(), now::get);

    private static StoredRecord record(String key, long offset, String value) {
        return new StoredRecord(key, offset, value.getBytes(StandardCharsets.UTF_8));
    }

    private static StoredRecord manifest(long version, long offset) {
        return record("config", offset, "{\"version\":" + version + ",\"routes\":[],\"services\":[]}");
    }

    private long manifestVersion() {
        return views.view().manifest().orElseThrow().version();
    }

    /** A store whose history never reaches its own end would otherwise be read without a pause. */
    @Test
    void shouldPauseWhenHistoryExpiresAgainAtOnce() {
        FakeReader reader = new FakeReader();
        reader.expired = true;
        StoreFollower follower = new StoreFollower(
                Topic.OPERATOR,
                reader,
                views,
                topic -> {},
                new StoreFollower.PollTiming(Duration.ofMillis(10), Duration.ofMillis(5)));
        assertEquals(0, follower.readOnce(), "loaded");
        assertTrue(follower.readOnce() > 0, "expired at once");
    }

    private final class FakeReader implements TopicReader {

        private boolean down;
        private boolean expired;
        private boolean timeOutOnce;
        private boolean throwOnce;
        private boolean peerUpdates;

        /**
         * Whether to hold a read that finds no records, as a store does. Without a hold, a follower on its own thread
         * never pauses.
         */
        private boolean holdReads;

        private Fault.Reason reason = Fault.Reason.TIMEOUT;
        private final List<Long> readFrom = new ArrayList<>();
        private final List<Duration> holds = new ArrayList<>();

        @Override
        public Result<Batch> readLatest(Topic topic) {
            if (throwOnce) {
                throwOnce = false;
                throw new IllegalStateException("simulated failure");
            }
            return down ? failure() : Result.success(new Batch(List.of(manifest(4, 6)), 10));
        }

        @Override
        public Result<Read> read(Topic topic, long from, Duration hold) {
            readFrom.add(from);
            holds.add(hold);
            if (holdReads) {
                LockSupport.parkNanos(hold.toNanos());
            }
            if (down) {
                return failure();
            }
            if (timeOutOnce) {
                timeOutOnce = false;
                return failure();
            }
            return Result.success(expired ? new Read.Expired() : new Read.Records(new Batch(List.of(), from)));
        }

        @Override
        public boolean hasPeerUpdates(Topic topic) {
            return peerUpdates;
        }

        private <T> Result<T> failure() {
            return Result.failure(Fault.of(Fault.Step.LOG, "store", reason, "down"));
        }
    }

    private final FakeReader reader = new FakeReader();
    private final List<Topic> queriedTopics = new ArrayList<>();
    private final StoreFollower follower = new StoreFollower(
            Topic.OPERATOR,
            reader,
            views,
            queriedTopics::add,
            new StoreFollower.PollTiming(Duration.ofMillis(10), Duration.ofMillis(5)));

    @Test
    void shouldContinueFromEndOfLatestRecords() {
        follower.readOnce();
        assertEquals(4, manifestVersion());
        follower.readOnce();
        assertEquals(List.of(10L), reader.readFrom);
    }

    @Test
    void shouldContinueWhenOneReadThrows() {
        reader.throwOnce = true;
        reader.holdReads = true;
        follower.start();
        Await.until("the next read", () -> views.view().manifest().isPresent());
        assertEquals(4, manifestVersion());
    }

    @Test
    void shouldQueryPeerWhileStoreIsDown() {
        reader.down = true;
        assertTrue(follower.readOnce() > 0, "it pauses before the next read");
        assertEquals(List.of(Topic.OPERATOR), queriedTopics);
        reader.down = false;
        follower.readOnce();
        assertEquals(4, manifestVersion());
        assertEquals(1, queriedTopics.size());
    }

    @Test
    void shouldRetryAtOnceWhenOneReadTimesOut() {
        follower.readOnce();
        reader.timeOutOnce = true;
        follower.readOnce();
        assertEquals(List.of(10L, 10L), reader.readFrom, "the store may respond on a new connection");
        assertEquals(List.of(Duration.ofMillis(10), Duration.ZERO), reader.holds);
        assertEquals(List.of(), queriedTopics);
    }

    @Test
    void shouldRetryAtOnceWhenConnectionWasReset() {
        follower.readOnce();
        reader.reason = Fault.Reason.UNREACHABLE;
        reader.timeOutOnce = true;
        follower.readOnce();
        assertEquals(List.of(Duration.ofMillis(10), Duration.ZERO), reader.holds);
        assertEquals(List.of(), queriedTopics);
    }

    @Test
    void shouldReadInEveryThirdRoundWhileStoreIsUnreachable() {
        follower.readOnce();
        reader.down = true;
        assertTrue(follower.readOnce() > 0, "it pauses before the next read");
        assertEquals(List.of(10L, 10L), reader.readFrom);
        follower.readOnce();
        follower.readOnce();
        assertEquals(List.of(10L, 10L), reader.readFrom, "in two of three rounds only a peer is queried");
        follower.readOnce();
        assertEquals(List.of(10L, 10L, 10L), reader.readFrom, "in the third round the store is read once");
        assertEquals(Collections.nCopies(4, Topic.OPERATOR), queriedTopics, "a peer is queried in each round");
    }

    /** An entry that was disconnected receives updates from agents before its next read of the store is due. */
    @Test
    void shouldReadInNextRoundWhenPeersSendUpdatesAgain() {
        follower.readOnce();
        reader.down = true;
        follower.readOnce();
        reader.peerUpdates = true;
        reader.down = false;
        follower.readOnce();
        assertEquals(List.of(10L, 10L, 10L), reader.readFrom);
        assertTrue(follower.isConnected());
    }

    @Test
    void shouldNotRetryAtOnceWhenStoreRefuses() {
        follower.readOnce();
        reader.down = true;
        reader.reason = Fault.Reason.OVERLOADED;
        follower.readOnce();
        assertEquals(List.of(10L), reader.readFrom);
        assertEquals(List.of(Topic.OPERATOR), queriedTopics);
    }

    @Test
    void shouldReadLatestRecordsAgainWhenHistoryExpired() {
        follower.readOnce();
        reader.expired = true;
        follower.readOnce();
        reader.expired = false;
        follower.readOnce();
        follower.readOnce();
        assertEquals(List.of(10L, 10L), reader.readFrom, "the third round reads the latest records again");
    }
}
