package org.micabarrow.weights;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.IntFunction;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.micabarrow.routing.EndpointRegistration;
import org.micabarrow.state.Digest;
import org.micabarrow.weights.ChunkSources.Agent;

/** Which agent fetches which chunk from where. */
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

    /** The agents that fetch each chunk from the origin. */
    private static Map<Integer, List<String>> fromOrigin(List<Agent> all) {
        Map<Integer, List<String>> fromOrigin = new HashMap<>();
        for (Agent agent : all) {
            ChunkSources sources = ChunkSources.of(agent, all, CHUNKS);
            for (int index = 0; index < CHUNKS; index++) {
                if (sources.of(index).isEmpty()) {
                    fromOrigin.computeIfAbsent(index, key -> new ArrayList<>()).add(agent.address());
                }
            }
        }
        return fromOrigin;
    }

    @Property(seed = "42", tries = 100)
    void shouldFetchEachChunkFromOriginOnce(
            @ForAll @Size(min = 1, max = 4) List<@IntRange(min = 1, max = 9) Integer> sizes) {
        List<Agent> all = agents(sizes);
        Map<Integer, List<String>> fromOrigin = fromOrigin(all);
        for (int index = 0; index < CHUNKS; index++) {
            assertEquals(1, fromOrigin.getOrDefault(index, List.of()).size(), "chunk " + index);
        }
    }

    @Property(seed = "42", tries = 100)
    void shouldTransferEachChunkIntoEachRegionOnce(
            @ForAll @Size(min = 2, max = 4) List<@IntRange(min = 1, max = 9) Integer> sizes) {
        List<Agent> all = agents(sizes);
        Map<String, String> regions = new HashMap<>();
        all.forEach(agent -> regions.put(agent.address(), agent.region()));
        Map<Agent, ChunkSources> sourcesOf = new HashMap<>();
        all.forEach(agent -> sourcesOf.put(agent, ChunkSources.of(agent, all, CHUNKS)));
        for (int index = 0; index < CHUNKS; index++) {
            long crossings = 0;
            for (Agent agent : all) {
                List<String> sources = sourcesOf.get(agent).of(index);
                if (!sources.isEmpty() && !regions.get(sources.getFirst()).equals(agent.region())) {
                    crossings++;
                }
            }
            assertEquals(sizes.size() - 1, crossings, "chunk " + index);
        }
    }

    @Property(seed = "42", tries = 50)
    void shouldSpreadChunksEvenlyWhenRegionsAreUneven(
            @ForAll @Size(min = 1, max = 4) List<@IntRange(min = 1, max = 9) Integer> sizes) {
        List<Agent> all = agents(sizes);
        Map<String, Integer> chunkCounts = new HashMap<>();
        fromOrigin(all).values().forEach(agents -> agents.forEach(agent -> chunkCounts.merge(agent, 1, Integer::sum)));
        int maxChunks = chunkCounts.values().stream().mapToInt(one -> one).max().orElse(0);
        assertTrue(
                maxChunks <= Math.ceilDiv(CHUNKS, all.size()),
                "one agent fetches " + maxChunks + " chunks from the origin");
    }

    @Property(seed = "42", tries = 50)
    void shouldReassignFewChunksWhenOneAgentGoes(
            @ForAll @Size(min = 2, max = 4) List<@IntRange(min = 2, max = 9) Integer> sizes) {
        List<Agent> all = agents(sizes);
        Map<Integer, List<String>> before = fromOrigin(all);
        String removed = all.getFirst().address();
        Map<Integer, List<String>> after = fromOrigin(all.subList(1, all.size()));
        long moved = before.entrySet().stream()
                .filter(one -> !one.getValue().equals(List.of(removed)))
                .filter(one -> !one.getValue().equals(after.get(one.getKey())))
                .count();
        assertTrue(moved <= CHUNKS / 4, moved + " chunks of agents that stayed are fetched by others");
    }

    /**
     * Reference implementation of the leader assignment: among agents with remaining capacity, the one with the
     * smallest digest of agent and chunk.
     */
    private static Map<Integer, Agent> referenceLeaders(List<Agent> agents, List<Integer> chunks) {
        Map<Integer, Agent> leaders = new HashMap<>();
        for (int index : chunks) {
            Agent smallest = null;
            for (Agent agent : agents) {
                boolean hasCapacity = Collections.frequency(leaders.values(), agent) * agents.size() < chunks.size();
                if (hasCapacity
                        && (smallest == null
                                || referenceRank(agent, index).compareTo(referenceRank(smallest, index)) < 0)) {
                    smallest = agent;
                }
            }
            leaders.put(index, smallest);
        }
        return leaders;
    }

    private static String referenceRank(Agent agent, int index) {
        return Digest.of(agent.address() + "/" + index);
    }

    /** Reference implementation of the sources of one agent, given the leaders. */
    private static List<String> referenceSources(
            Agent self, List<Agent> region, Agent originLeader, Agent leader, int index) {
        List<String> sources = new ArrayList<>();
        if (!leader.equals(self)) {
            sources.add(leader.address());
            region.stream()
                    .filter(agent -> !agent.equals(leader))
                    .filter(agent -> referenceRank(agent, index).compareTo(referenceRank(self, index)) < 0)
                    .sorted(Comparator.comparing(agent -> referenceRank(agent, index)))
                    .forEach(agent -> sources.add(agent.address()));
        }
        if (!originLeader.region().equals(self.region())) {
            sources.add(originLeader.address());
        }
        return sources;
    }

    @Property(seed = "42", tries = 30)
    void shouldListLeaderFirstAndThenOthersByRank(
            @ForAll @Size(min = 1, max = 4) List<@IntRange(min = 1, max = 9) Integer> sizes,
            @ForAll @IntRange(max = CHUNKS) int chunks) {
        List<Agent> all = agents(sizes);
        List<Integer> indexes = IntStream.range(0, chunks).boxed().toList();
        Map<Integer, Agent> originLeaders = referenceLeaders(all, indexes);
        for (Agent self : all) {
            List<Agent> region = all.stream()
                    .filter(one -> one.region().equals(self.region()))
                    .toList();
            Map<Integer, Agent> leaders = new HashMap<>(originLeaders);
            leaders.putAll(referenceLeaders(
                    region,
                    indexes.stream()
                            .filter(index -> !region.contains(originLeaders.get(index)))
                            .toList()));
            ChunkSources sources = ChunkSources.of(self, all, chunks);
            for (int index : indexes) {
                assertEquals(
                        referenceSources(self, region, originLeaders.get(index), leaders.get(index), index),
                        sources.of(index),
                        self + ", chunk " + index);
            }
        }
    }

    @Test
    void shouldUseOwnRegionWhenItsAddressIsListedUnderAnother() {
        Agent self = new Agent("10.0.0.1:7000", "region-a");
        Agent sameRegion = new Agent("10.0.0.2:7000", "region-a");
        Agent otherRegion = new Agent("10.1.0.1:7000", "region-b");
        Agent misplaced = new Agent(self.address(), "region-b");
        ChunkSources expected = ChunkSources.of(self, List.of(sameRegion, otherRegion, self), CHUNKS);
        ChunkSources actual = ChunkSources.of(self, List.of(sameRegion, otherRegion, misplaced), CHUNKS);
        assertEquals(List.of(sameRegion.address()), actual.sameRegion());
        for (int index = 0; index < CHUNKS; index++) {
            assertEquals(expected.of(index), actual.of(index), "chunk " + index);
        }
    }

    @Test
    void shouldUseOwnRegionWhenItsAddressIsListedUnderAnotherAndItIsAloneThere() {
        Agent self = new Agent("10.0.0.1:7000", "region-a");
        Agent otherRegion = new Agent("10.1.0.1:7000", "region-b");
        Agent misplaced = new Agent(self.address(), "region-b");
        ChunkSources actual = ChunkSources.of(self, List.of(otherRegion, misplaced), CHUNKS);
        ChunkSources expected = ChunkSources.of(self, List.of(otherRegion, self), CHUNKS);
        for (int index = 0; index < CHUNKS; index++) {
            assertEquals(expected.of(index), actual.of(index), "chunk " + index);
        }
    }

    @Test
    void shouldKeepSourcesWhenOnlyTheOrderOfAgentsChanges() {
        List<Agent> all = agents(List.of(2, 2));
        AtomicReference<List<Agent>> known = new AtomicReference<>(all);
        IntFunction<ChunkSources> sources = ChunkSources.cached(all.getFirst(), known::get);
        ChunkSources first = sources.apply(CHUNKS);
        known.set(all.reversed());
        assertSame(first, sources.apply(CHUNKS));
    }

    @Test
    void shouldRecomputeSourcesWhenAgentGoes() {
        List<Agent> all = agents(List.of(2, 2));
        AtomicReference<List<Agent>> known = new AtomicReference<>(all);
        IntFunction<ChunkSources> sources = ChunkSources.cached(all.getFirst(), known::get);
        assertEquals(List.of(all.get(1).address()), sources.apply(CHUNKS).sameRegion());
        known.set(List.of(all.get(0), all.get(2), all.get(3)));
        assertEquals(List.of(), sources.apply(CHUNKS).sameRegion());
    }

    @Test
    void shouldExcludeAgentWhenItsEndpointIsDraining() {
        EndpointRegistration serving =
                EndpointRegistration.of("a", "s", "10.0.0.1:80", "hall-a", 4, false, Map.of(), 16);
        EndpointRegistration draining =
                EndpointRegistration.of("b", "s", "10.0.0.2:80", "hall-a", 4, true, Map.of(), 16);
        EndpointRegistration sameInstance =
                EndpointRegistration.of("c", "s", "10.0.0.1:81", "hall-a", 4, false, Map.of(), 16);
        assertEquals(
                List.of(new Agent("10.0.0.1:7000", "region-a")),
                Agent.besideEndpoints(List.of(serving, draining, sameInstance), 7_000, Map.of("hall-a", "region-a")));
    }
}
