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

/** When the store is read, and when peers are asked, through outages, expired history and lost answers. */
class StoreFollowerTest {

    private final AtomicLong now = new AtomicLong(1_000_000);
    private final ViewMaintainer keeper = new ViewMaintainer(new StoreRecords(), now::get);

    private static StoredRecord record(String key, long offset, String value) {
        return new StoredRecord(key, offset, value.getBytes(StandardCharsets.UTF_8));
    }

    private static StoredRecord manifest(long version, long offset) {
        return record("config", offset, "{\"version\":" + version + ",\"routes\":[],\"services\":[]}");
    }

    private long version() {
        return keeper.view().manifest().orElseThrow().version();
    }

    private final class FakeReader implements TopicReader {

        private boolean down;
        private boolean expired;
        private boolean silentOnce;
        private boolean brokenOnce;
        private boolean peersTell;

        /** Whether to hold a read that finds nothing, as a store does; else a follower on a thread of its own never rests. */
        private boolean holding;

        private Fault.Reason reason = Fault.Reason.TIMEOUT;
        private final List<Long> readFrom = new ArrayList<>();
        private final List<Duration> holds = new ArrayList<>();

        @Override
        public Result<Batch> newest(Topic topic) {
            if (brokenOnce) {
                brokenOnce = false;
                throw new IllegalStateException("a fault of the program");
            }
            return down ? failed() : Result.success(new Batch(List.of(manifest(4, 6)), 10));
        }

        @Override
        public Result<Read> read(Topic topic, long from, Duration hold) {
            readFrom.add(from);
            holds.add(hold);
            if (holding) {
                LockSupport.parkNanos(hold.toNanos());
            }
            if (down) {
                return failed();
            }
            if (silentOnce) {
                silentOnce = false;
                return failed();
            }
            return Result.success(expired ? new Read.Expired() : new Read.Records(new Batch(List.of(), from)));
        }

        @Override
        public boolean peersTell(Topic topic) {
            return peersTell;
        }

        private <T> Result<T> failed() {
            return Result.failure(Fault.of(Fault.Step.LOG, "store", reason, "down"));
        }
    }

    private final FakeReader reader = new FakeReader();
    private final List<Topic> asked = new ArrayList<>();
    private final StoreFollower follower = new StoreFollower(
            Topic.OPERATOR,
            reader,
            keeper,
            asked::add,
            new StoreFollower.Pace(Duration.ofMillis(10), Duration.ofMillis(5)));

    @Test
    void shouldReadOnFromEndOfNewest() {
        follower.once();
        assertEquals(4, version());
        follower.once();
        assertEquals(List.of(10L), reader.readFrom);
    }

    @Test
    void shouldGoOnFollowingWhenOneReadFailsByFaultOfProgram() {
        reader.brokenOnce = true;
        reader.holding = true;
        follower.start();
        Await.until("the next read", () -> keeper.view().manifest().isPresent());
        assertEquals(4, version());
    }

    @Test
    void shouldAskPeerWhileStoreIsDown() {
        reader.down = true;
        assertTrue(follower.once() > 0, "it pauses before the next try");
        assertEquals(List.of(Topic.OPERATOR), asked);
        reader.down = false;
        follower.once();
        assertEquals(4, version());
        assertEquals(1, asked.size());
    }

    @Test
    void shouldReadAgainAtOnceWhenOneReadStaysWithoutAnswer() {
        follower.once();
        reader.silentOnce = true;
        follower.once();
        assertEquals(List.of(10L, 10L), reader.readFrom, "the store may answer on a new connection");
        assertEquals(List.of(Duration.ofMillis(10), Duration.ZERO), reader.holds);
        assertEquals(List.of(), asked);
    }

    @Test
    void shouldReadAgainAtOnceWhenConnectionOfOneReadWasReset() {
        follower.once();
        reader.reason = Fault.Reason.UNREACHABLE;
        reader.silentOnce = true;
        follower.once();
        assertEquals(List.of(Duration.ofMillis(10), Duration.ZERO), reader.holds);
        assertEquals(List.of(), asked);
    }

    @Test
    void shouldReadOnceInThreeTurnsWhileStoreStaysAway() {
        follower.once();
        reader.down = true;
        assertTrue(follower.once() > 0, "it pauses before the next try");
        assertEquals(List.of(10L, 10L), reader.readFrom);
        follower.once();
        follower.once();
        assertEquals(List.of(10L, 10L), reader.readFrom, "in two of three turns only a peer is asked");
        follower.once();
        assertEquals(List.of(10L, 10L, 10L), reader.readFrom, "and once a turn in the third");
        assertEquals(Collections.nCopies(4, Topic.OPERATOR), asked, "a peer is asked in each turn");
    }

    /** An entry that comes back from being cut off hears from agents before its next read of the store is due. */
    @Test
    void shouldReadInNextTurnWhenPeersTellAgain() {
        follower.once();
        reader.down = true;
        follower.once();
        reader.peersTell = true;
        reader.down = false;
        follower.once();
        assertEquals(List.of(10L, 10L, 10L), reader.readFrom);
        assertTrue(follower.inTouch());
    }

    @Test
    void shouldNotReadAgainAtOnceWhenStoreRefuses() {
        follower.once();
        reader.down = true;
        reader.reason = Fault.Reason.OVERLOADED;
        follower.once();
        assertEquals(List.of(10L), reader.readFrom);
        assertEquals(List.of(Topic.OPERATOR), asked);
    }

    @Test
    void shouldReadNewestAgainWhenHistoryExpired() {
        follower.once();
        reader.expired = true;
        follower.once();
        reader.expired = false;
        follower.once();
        follower.once();
        assertEquals(List.of(10L, 10L), reader.readFrom, "the third turn reads the newest again");
    }
}
