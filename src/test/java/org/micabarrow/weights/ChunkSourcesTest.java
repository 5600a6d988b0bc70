package org.micabarrow.weights;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.micabarrow.weights.ChunkSources.Agent;

/** Who fetches which chunk from whom. */
class ChunkSourcesTest {

    private static final int CHUNKS = 64;

    private static List<Agent> agents(List<Integer> sizes) {
        List<Agent> all = new ArrayList<>();
        for (int region = 0; region < sizes.size(); region++) {
            for (int i = 0; i < sizes.get(region); i++) {
                all.add(new Agent("10." + region + ".0." + i + ":7000", "region-" + region));
            }
        }
        return all;
    }

    @Property(seed = "42", tries = 100)
    void shouldFetchEachChunkFromOriginOnce(
            @ForAll @Size(min = 1, max = 4) List<@IntRange(min = 1, max = 9) Integer> sizes) {
        List<Agent> all = agents(sizes);
        Map<String, Integer> fromOrigin = new HashMap<>();
        for (int index = 0; index < CHUNKS; index++) {
            for (Agent agent : all) {
                if (new ChunkSources(agent, all).of(index).isEmpty()) {
                    fromOrigin.merge(agent.address(), 1, Integer::sum);
                }
            }
        }
        assertEquals(CHUNKS, fromOrigin.values().stream().mapToInt(one -> one).sum());
    }

    @Property(seed = "42", tries = 100)
    void shouldCrossIntoEachRegionOnce(
            @ForAll @Size(min = 2, max = 4) List<@IntRange(min = 1, max = 9) Integer> sizes) {
        List<Agent> all = agents(sizes);
        Map<String, String> regions = new HashMap<>();
        all.forEach(agent -> regions.put(agent.address(), agent.region()));
        for (int index = 0; index < CHUNKS; index++) {
            long crossings = 0;
            for (Agent agent : all) {
                List<String> sources = new ChunkSources(agent, all).of(index);
                if (!sources.isEmpty() && !regions.get(sources.getFirst()).equals(agent.region())) {
                    crossings++;
                }
            }
            assertEquals(sizes.size() - 1, crossings, "chunk " + index);
        }
    }

    @Property(seed = "42", tries = 50)
    void shouldSpreadChunksEvenlyOverRegionsAgents(@ForAll @IntRange(min = 1, max = 9) int size) {
        List<Agent> all = agents(List.of(size, size, size));
        Map<String, Integer> fromOrigin = new HashMap<>();
        for (int index = 0; index < CHUNKS; index++) {
            for (Agent agent : all) {
                if (new ChunkSources(agent, all).of(index).isEmpty()) {
                    fromOrigin.merge(agent.address(), 1, Integer::sum);
                }
            }
        }
        int most = fromOrigin.values().stream().mapToInt(one -> one).max().orElse(0);
        assertTrue(most <= CHUNKS / all.size() + 2, "one agent fetches " + most + " chunks from the origin");
    }
}
