package org.micabarrow.weights;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.BitSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.micabarrow.state.Digest;
import org.micabarrow.weights.ChunkSources.Agent;

/** One version of two chunks, fetched by an agent with one other agent in its region. */
class SourceSelectorTest {

    private static final Agent SELF = new Agent("b:1", "region-a");
    private static final String OTHER = "a:1";
    private static final byte[] FIRST = {1};
    private static final byte[] SECOND = {2};

    private final AtomicLong now = new AtomicLong();
    private final ChunkSet set = new ChunkSet("model-a", 2, List.of(Digest.of(FIRST), Digest.of(SECOND)));
    private final ChunkSources sources = ChunkSources.of(SELF, List.of(SELF, new Agent(OTHER, "region-a")), 2);
    private final SourceSelector selector =
            new SourceSelector(count -> sources, set, new ConcurrentHashMap<>(), now::get);

    private static BitSet chunks(int... indexes) {
        BitSet all = new BitSet();
        for (int index : indexes) {
            all.set(index);
        }
        return all;
    }

    @Test
    void shouldUseFirstSourcesWhenNoChunkIsPresent() {
        assertEquals(List.of(OTHER), sources.of(0));
        assertEquals(List.of(), sources.of(1));
        assertEquals(chunks(0), selector.chunksWantedFrom(OTHER));
        assertEquals(chunks(1), selector.chunksWantedFrom(SourceSelector.ORIGIN));
        assertEquals(Set.of(OTHER, SourceSelector.ORIGIN), selector.activeSources());
    }

    @Test
    void shouldUseNextSourceAfterAdvancingPastOne() {
        selector.advancePast(OTHER, chunks(0, 1));
        assertEquals(chunks(0, 1), selector.chunksWantedFrom(SourceSelector.ORIGIN));
    }

    @Test
    void shouldUseFirstSourceAgainWhenOriginFailed() {
        selector.useNextSource(0);
        assertEquals(chunks(0, 1), selector.chunksWantedFrom(SourceSelector.ORIGIN));
        selector.useFirstSource(0);
        assertEquals(chunks(0), selector.chunksWantedFrom(OTHER));
    }

    @Test
    void shouldRequestChunksOfOthersFromAgentOfSameRegionWhenItHasServedItsOwn() {
        set.put(0, FIRST);
        assertEquals(chunks(1), selector.chunksWantedFrom(OTHER));
    }

    @Test
    void shouldSkipAgentForAWhileWhenItDidNotRespond() {
        selector.markUnresponsive(OTHER);
        assertEquals(Set.of(SourceSelector.ORIGIN), selector.activeSources());
        assertEquals(chunks(0, 1), selector.chunksWantedFrom(SourceSelector.ORIGIN));
        assertTrue(selector.chunksWantedFrom(OTHER).isEmpty());
        now.addAndGet(60_000);
        assertEquals(chunks(0), selector.chunksWantedFrom(OTHER));
    }
}
