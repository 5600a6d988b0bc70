package org.micabarrow.weights;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.BitSet;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.micabarrow.state.Digest;

/** Chunks are requested from the origin in turn, so that the first ones arrive early, and its link is never idle. */
class OriginTurnsTest {

    private static final int CHUNKS = 96;

    /** The time of a chunk on the origin's link: 24,576 bytes at 4.38 Mbit/s. */
    private static final double ORIGIN_CHUNK_MILLIS = 44.9;

    private final AtomicLong now = new AtomicLong(1_000);
    private final ChunkSet set = new ChunkSet(
            "m",
            2,
            IntStream.range(0, CHUNKS).mapToObj(i -> Digest.of(chunk(i))).toList());

    private static byte[] chunk(int index) {
        return new byte[] {(byte) index};
    }

    private static BitSet all() {
        BitSet all = new BitSet();
        all.set(0, CHUNKS);
        return all;
    }

    @Test
    void shouldStartWithFirstMissingChunks() {
        List.of(0, 2).forEach(index -> set.put(index, chunk(index)));
        BitSet due = new OriginTurns(set, now::get).due(all());
        assertTrue(due.cardinality() < CHUNKS / 8, "due at first: " + due);
        assertEquals(1, due.nextSetBit(0));
        assertEquals(3, due.nextSetBit(2));
    }

    @Test
    void shouldMakeOnlyAssignedChunksDue() {
        BitSet assigned = new BitSet();
        assigned.set(1);
        assigned.set(CHUNKS - 1);
        BitSet due = new OriginTurns(set, now::get).due(assigned);
        assertEquals(1, due.cardinality());
        assertTrue(due.get(1));
    }

    @Test
    void shouldMakeMoreChunksDueAsChunksArrive() {
        OriginTurns turns = new OriginTurns(set, now::get);
        int before = turns.due(all()).length();
        IntStream.range(0, 10).forEach(index -> set.put(index, chunk(index)));
        assertEquals(before + 2 * 10, turns.due(all()).length());
    }

    @Test
    void shouldMakeAllDueWhenNoChunkArrivesForLong() {
        OriginTurns turns = new OriginTurns(set, now::get);
        turns.due(all());
        now.addAndGet(2_000);
        assertEquals(all(), turns.due(all()));
    }

    @Test
    void shouldStartAgainWhenOriginHasFailed() {
        OriginTurns turns = new OriginTurns(set, now::get);
        int first = turns.due(all()).cardinality();
        now.addAndGet(2_000);
        turns.onOriginFailed();
        assertEquals(first, turns.due(all()).cardinality());
    }

    /**
     * Guards against an origin whose link is idle while agents pass chunks on more slowly than it delivers them: when it
     * becomes unavailable, nobody has the chunks that it could have delivered.
     */
    @Test
    void shouldRequestAllChunksInTimeOfOriginsLinkWhenItRespondsQuickly() {
        OriginTurns turns = new OriginTurns(set, now::get);
        now.addAndGet(CHUNKS / 8 * Math.round(ORIGIN_CHUNK_MILLIS));
        IntStream.range(0, 2).forEach(index -> set.put(index, chunk(index)));
        turns.onOriginDelivered(400);
        assertTrue(turns.due(all()).cardinality() < CHUNKS / 2);
        now.addAndGet(CHUNKS / 8 * 7 * Math.round(ORIGIN_CHUNK_MILLIS));
        set.put(2, chunk(2));
        assertEquals(CHUNKS - 3, turns.due(all()).cardinality());
        turns.onOriginDelivered(1_500);
        assertTrue(turns.due(all()).cardinality() < CHUNKS / 2, "the origin has requests waiting");
    }

    /**
     * Agents that share an origin fairly get all chunks within 1.3 times the time of its link, and the first ones well
     * before its end, however long chunks take to be passed on.
     */
    @ParameterizedTest
    @ValueSource(longs = {300, 500, 1_000})
    void shouldKeepOriginBusyAndPassChunksOnEarly(long passedOnMillis) {
        OriginTurns turns = new OriginTurns(set, now::get);
        double[] leftMillis = new double[CHUNKS];
        long[] arrivesAt = new long[CHUNKS];
        BitSet requested = new BitSet();
        BitSet open = new BitSet();
        long startMillis = now.get();
        long quarterAtMillis = 0;
        for (; !set.isComplete(); now.incrementAndGet()) {
            IntStream.range(0, CHUNKS)
                    .filter(i -> arrivesAt[i] != 0 && arrivesAt[i] <= now.get())
                    .forEach(i -> set.put(i, chunk(i)));
            BitSet due = turns.due(all());
            due.andNot(requested);
            due.stream().forEach(i -> leftMillis[i] = ORIGIN_CHUNK_MILLIS);
            requested.or(due);
            open.or(due);
            int sharing = open.cardinality();
            open.stream().forEach(i -> leftMillis[i] -= 1.0 / sharing);
            open.stream().filter(i -> leftMillis[i] <= 0).forEach(i -> arrivesAt[i] = now.get() + passedOnMillis);
            IntStream.range(0, CHUNKS).filter(i -> arrivesAt[i] != 0).forEach(open::clear);
            if (quarterAtMillis == 0 && set.presentCount() >= CHUNKS / 4) {
                quarterAtMillis = now.get() - startMillis;
            }
            assertTrue(now.get() - startMillis < 60_000, "incomplete");
        }
        double linkMillis = CHUNKS * ORIGIN_CHUNK_MILLIS;
        long tookMillis = now.get() - startMillis;
        assertTrue(tookMillis <= 1.3 * linkMillis, "took " + tookMillis + " ms, the link " + linkMillis);
        assertTrue(quarterAtMillis <= linkMillis / 2 + passedOnMillis, "a quarter after " + quarterAtMillis);
    }
}
