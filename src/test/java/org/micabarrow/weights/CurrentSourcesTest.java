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
    private final SourceSelector current =
            new SourceSelector(count -> sources, set, new ConcurrentHashMap<>(), now::get);

    private static BitSet chunks(int... indexes) {
        BitSet all = new BitSet();
        for (int index : indexes) {
            all.set(index);
        }
        return all;
    }

    @Test
    void shouldAskFirstSourcesWhenNothingIsHere() {
        assertEquals(List.of(OTHER), sources.of(0));
        assertEquals(List.of(), sources.of(1));
        assertEquals(chunks(0), current.chunksWantedFrom(OTHER));
        assertEquals(chunks(1), current.chunksWantedFrom(SourceSelector.ORIGIN));
        assertEquals(Set.of(OTHER, SourceSelector.ORIGIN), current.activeSources());
    }

    @Test
    void shouldAskNextSourceWhenOneIsLeft() {
        current.advancePast(OTHER, chunks(0, 1));
        assertEquals(chunks(0, 1), current.chunksWantedFrom(SourceSelector.ORIGIN));
    }

    @Test
    void shouldAskFirstSourceAgainWhenOriginFailed() {
        current.useNextSource(0);
        assertEquals(chunks(0, 1), current.chunksWantedFrom(SourceSelector.ORIGIN));
        current.useFirstSource(0);
        assertEquals(chunks(0), current.chunksWantedFrom(OTHER));
    }

    @Test
    void shouldAskAgentNearbyForWhatOthersOweWhenItHasGivenItsOwn() {
        set.put(0, FIRST);
        assertEquals(chunks(1), current.chunksWantedFrom(OTHER));
    }

    @Test
    void shouldPassOverAgentForAWhileWhenItDidNotAnswer() {
        current.markUnresponsive(OTHER);
        assertEquals(Set.of(SourceSelector.ORIGIN), current.activeSources());
        assertEquals(chunks(0, 1), current.chunksWantedFrom(SourceSelector.ORIGIN));
        assertTrue(current.chunksWantedFrom(OTHER).isEmpty());
        now.addAndGet(60_000);
        assertEquals(chunks(0), current.chunksWantedFrom(OTHER));
    }
}
