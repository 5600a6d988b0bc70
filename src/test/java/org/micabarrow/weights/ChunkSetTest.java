package org.micabarrow.weights;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.BitSet;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.micabarrow.state.Digest;

/** Which chunk an agent serves when another requests any one of several. */
class ChunkSetTest {

    private static final int CHUNKS = 64;
    private static final int AGENTS = 16;

    private static byte[] chunk(int index) {
        return new byte[] {(byte) index};
    }

    private static ChunkSet completeSet() {
        List<String> digests = IntStream.range(0, CHUNKS)
                .mapToObj(index -> Digest.of(chunk(index)))
                .toList();
        ChunkSet set = new ChunkSet("m", 2, digests);
        IntStream.range(0, CHUNKS).forEach(index -> set.put(index, chunk(index)));
        return set;
    }

    private static BitSet range(int end) {
        BitSet wanted = new BitSet();
        wanted.set(0, end);
        return wanted;
    }

    @Test
    void shouldServeDifferentChunksWhenManyAgentsGetSameRequest() {
        Set<Integer> served = new HashSet<>();
        for (int agent = 0; agent < AGENTS; agent++) {
            served.add(completeSet().pickLeastServed(range(CHUNKS)).orElseThrow());
        }
        assertTrue(served.size() > AGENTS / 4, "chunks " + served);
    }

    @Test
    void shouldServeEachChunkOnceBeforeServingOneTwice() {
        ChunkSet set = completeSet();
        Set<Integer> served = new HashSet<>();
        for (int i = 0; i < CHUNKS; i++) {
            served.add(set.pickLeastServed(range(CHUNKS)).orElseThrow());
        }
        assertEquals(CHUNKS, served.size());
    }

    @Test
    void shouldServeOnlyWantedChunks() {
        ChunkSet set = completeSet();
        for (int i = 0; i < CHUNKS; i++) {
            assertTrue(set.pickLeastServed(range(3)).orElseThrow() < 3);
        }
        assertTrue(set.pickLeastServed(new BitSet()).isEmpty());
    }
}
