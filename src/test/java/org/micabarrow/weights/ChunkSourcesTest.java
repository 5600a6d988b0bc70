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
    void shouldCrossIntoEachRegionOnce(
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
    void shouldSpreadChunksEvenlyHoweverUnevenTheRegionsAre(
            @ForAll @Size(min = 1, max = 4) List<@IntRange(min = 1, max = 9) Integer> sizes) {
        List<Agent> all = agents(sizes);
        Map<String, Integer> parts = new HashMap<>();
        fromOrigin(all).values().forEach(agents -> agents.forEach(agent -> parts.merge(agent, 1, Integer::sum)));
        int most = parts.values().stream().mapToInt(one -> one).max().orElse(0);
        assertTrue(most <= Math.ceilDiv(CHUNKS, all.size()), "one agent fetches " + most + " chunks from the origin");
    }

    @Property(seed = "42", tries = 50)
    void shouldChangeLittleForTheOthersWhenOneAgentGoes(
            @ForAll @Size(min = 2, max = 4) List<@IntRange(min = 2, max = 9) Integer> sizes) {
        List<Agent> all = agents(sizes);
        Map<Integer, List<String>> before = fromOrigin(all);
        String gone = all.getFirst().address();
        Map<Integer, List<String>> after = fromOrigin(all.subList(1, all.size()));
        long moved = before.entrySet().stream()
                .filter(one -> !one.getValue().equals(List.of(gone)))
                .filter(one -> !one.getValue().equals(after.get(one.getKey())))
                .count();
        assertTrue(moved <= CHUNKS / 4, moved + " chunks of agents that stayed are fetched by others");
    }

    /** Who leads, worked out the plain way: of the agents with room, the one whose digest with the chunk is least. */
    private static Map<Integer, Agent> plainLeads(List<Agent> agents, List<Integer> chunks) {
        Map<Integer, Agent> leads = new HashMap<>();
        for (int index : chunks) {
            Agent least = null;
            for (Agent agent : agents) {
                boolean room = Collections.frequency(leads.values(), agent) * agents.size() < chunks.size();
                if (room && (least == null || plainRank(agent, index).compareTo(plainRank(least, index)) < 0)) {
                    least = agent;
                }
            }
            leads.put(index, least);
        }
        return leads;
    }

    private static String plainRank(Agent agent, int index) {
        return Digest.of(agent.address() + "/" + index);
    }

    /** The sources of one agent, worked out the plain way from who leads. */
    private static List<String> plainSources(Agent self, List<Agent> region, Agent originLead, Agent lead, int index) {
        List<String> sources = new ArrayList<>();
        if (!lead.equals(self)) {
            sources.add(lead.address());
            region.stream()
                    .filter(agent -> !agent.equals(lead))
                    .filter(agent -> plainRank(agent, index).compareTo(plainRank(self, index)) < 0)
                    .sorted(Comparator.comparing(agent -> plainRank(agent, index)))
                    .forEach(agent -> sources.add(agent.address()));
        }
        if (!originLead.region().equals(self.region())) {
            sources.add(originLead.address());
        }
        return sources;
    }

    @Property(seed = "42", tries = 30)
    void shouldAskLeadsFirstAndThenOthersAsTheyRank(
            @ForAll @Size(min = 1, max = 4) List<@IntRange(min = 1, max = 9) Integer> sizes,
            @ForAll @IntRange(max = CHUNKS) int chunks) {
        List<Agent> all = agents(sizes);
        List<Integer> every = IntStream.range(0, chunks).boxed().toList();
        Map<Integer, Agent> originLeads = plainLeads(all, every);
        for (Agent self : all) {
            List<Agent> region = all.stream()
                    .filter(one -> one.region().equals(self.region()))
                    .toList();
            Map<Integer, Agent> leads = new HashMap<>(originLeads);
            leads.putAll(plainLeads(
                    region,
                    every.stream()
                            .filter(index -> !region.contains(originLeads.get(index)))
                            .toList()));
            ChunkSources sources = ChunkSources.of(self, all, chunks);
            for (int index : every) {
                assertEquals(
                        plainSources(self, region, originLeads.get(index), leads.get(index), index),
                        sources.of(index),
                        self + ", chunk " + index);
            }
        }
    }

    @Test
    void shouldStayInItsRegionWhenItsAddressIsListedUnderAnother() {
        Agent self = new Agent("10.0.0.1:7000", "region-a");
        Agent near = new Agent("10.0.0.2:7000", "region-a");
        Agent far = new Agent("10.1.0.1:7000", "region-b");
        Agent misplaced = new Agent(self.address(), "region-b");
        ChunkSources right = ChunkSources.of(self, List.of(near, far, self), CHUNKS);
        ChunkSources misled = ChunkSources.of(self, List.of(near, far, misplaced), CHUNKS);
        assertEquals(List.of(near.address()), misled.near());
        for (int index = 0; index < CHUNKS; index++) {
            assertEquals(right.of(index), misled.of(index), "chunk " + index);
        }
    }

    @Test
    void shouldHaveSourcesWhenItsAddressIsListedUnderAnotherRegionAndNobodyIsNear() {
        Agent self = new Agent("10.0.0.1:7000", "region-a");
        Agent far = new Agent("10.1.0.1:7000", "region-b");
        Agent misplaced = new Agent(self.address(), "region-b");
        ChunkSources misled = ChunkSources.of(self, List.of(far, misplaced), CHUNKS);
        ChunkSources right = ChunkSources.of(self, List.of(far, self), CHUNKS);
        for (int index = 0; index < CHUNKS; index++) {
            assertEquals(right.of(index), misled.of(index), "chunk " + index);
        }
    }

    @Test
    void shouldKeepSourcesWhenOnlyTheOrderOfAgentsChanges() {
        List<Agent> all = agents(List.of(2, 2));
        AtomicReference<List<Agent>> seen = new AtomicReference<>(all);
        IntFunction<ChunkSources> sources = ChunkSources.following(all.getFirst(), seen::get);
        ChunkSources first = sources.apply(CHUNKS);
        seen.set(all.reversed());
        assertSame(first, sources.apply(CHUNKS));
    }

    @Test
    void shouldWorkSourcesOutAgainWhenAgentGoes() {
        List<Agent> all = agents(List.of(2, 2));
        AtomicReference<List<Agent>> seen = new AtomicReference<>(all);
        IntFunction<ChunkSources> sources = ChunkSources.following(all.getFirst(), seen::get);
        assertEquals(List.of(all.get(1).address()), sources.apply(CHUNKS).near());
        seen.set(List.of(all.get(0), all.get(2), all.get(3)));
        assertEquals(List.of(), sources.apply(CHUNKS).near());
    }

    @Test
    void shouldNotCountOnAgentWhoseEndpointLeaves() {
        EndpointRegistration stays = EndpointRegistration.of("a", "s", "10.0.0.1:80", "hall-a", 4, false, Map.of(), 16);
        EndpointRegistration leaves = EndpointRegistration.of("b", "s", "10.0.0.2:80", "hall-a", 4, true, Map.of(), 16);
        EndpointRegistration again = EndpointRegistration.of("c", "s", "10.0.0.1:81", "hall-a", 4, false, Map.of(), 16);
        assertEquals(
                List.of(new Agent("10.0.0.1:7000", "region-a")),
                Agent.beside(List.of(stays, leaves, again), 7_000, Map.of("hall-a", "region-a")));
    }
}
