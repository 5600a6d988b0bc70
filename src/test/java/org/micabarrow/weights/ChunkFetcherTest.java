package org.micabarrow.weights;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.micabarrow.state.Digest;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Result;
import org.micabarrow.weights.ChunkSources.Agent;

/** Which agents are queried for the digests of a version while the origin is unavailable. */
class ChunkFetcherTest {

    private static final Agent SELF = new Agent("10.0.0.1:7000", "region-a");
    private static final Agent SAME_REGION = new Agent("10.0.0.2:7000", "region-a");
    private static final Agent ALSO_SAME_REGION = new Agent("10.0.0.3:7000", "region-a");
    private static final Agent OTHER_REGION = new Agent("10.1.0.1:7000", "region-b");
    private static final List<String> DIGESTS = List.of(Digest.of(new byte[] {1}), Digest.of(new byte[] {2}));

    private final FakePeers peers = new FakePeers();

    /** Peers of which one has the digests. */
    private static final class FakePeers implements ChunkPeers {

        private final List<String> queried = new ArrayList<>();
        private String holder = "nobody";

        @Override
        public Result<List<String>> digests(String agent, String model, long version) {
            queried.add(agent);
            return agent.equals(holder) ? Result.success(DIGESTS) : notFound(agent);
        }

        @Override
        public Result<IndexedChunk> fetchAnyOf(String agent, String model, long version, BitSet wanted) {
            return notFound(agent);
        }
    }

    /** An origin without any version. */
    private static final class EmptyOrigin implements WeightOrigin {

        @Override
        public Result<List<String>> digests(String address, String model, long version) {
            return notFound(address);
        }

        @Override
        public Result<byte[]> chunk(String address, String model, long version, int index) {
            return notFound(address);
        }
    }

    private static <T> Result<T> notFound(String peer) {
        return Result.failure(Fault.of(Fault.Step.FETCH, peer, Fault.Reason.NOT_FOUND, "none"));
    }

    private ChunkFetcher fetcher(ChunkSourcesCache sources) {
        return new ChunkFetcher(new ChunkFetcher.Dependencies(
                peers, new EmptyOrigin(), () -> Optional.of("origin:80"), sources, bytes -> {}, () -> 0));
    }

    @Test
    void shouldQueryAgentsOfSameRegionAndOneOfAnotherWhenOriginHasNoDigests() {
        List<Agent> agents = List.of(OTHER_REGION, SELF, SAME_REGION, ALSO_SAME_REGION);
        for (Agent self : List.of(SELF, SAME_REGION, ALSO_SAME_REGION)) {
            peers.queried.clear();
            fetcher(ChunkSources.cached(self, () -> agents)).createSet("m", 2);
            assertEquals(3, peers.queried.size(), "queried by " + self);
            assertEquals(OTHER_REGION.address(), peers.queried.getLast(), "queried by " + self);
            assertEquals(
                    Set.of(SELF.address(), SAME_REGION.address(), ALSO_SAME_REGION.address(), OTHER_REGION.address()),
                    Stream.concat(peers.queried.stream(), Stream.of(self.address()))
                            .collect(Collectors.toSet()));
        }
    }

    @Test
    void shouldReturnDigestsOfFirstAgentThatHasThem() {
        peers.holder = SAME_REGION.address();
        Result<ChunkSet> set = fetcher(ChunkSources.cached(SELF, () -> List.of(SAME_REGION, OTHER_REGION)))
                .createSet("m", 2);
        assertEquals(DIGESTS, set.toOptional().orElseThrow().digests());
        assertEquals(List.of(SAME_REGION.address()), peers.queried);
    }

    @Test
    void shouldFailWithCauseWhenNoSourceHasDigests() {
        Result<ChunkSet> set = fetcher(ChunkSources.cached(SELF, List::of)).createSet("m", 2);
        assertTrue(set.cause().isPresent());
        assertEquals(List.of(), peers.queried);
    }

    @Test
    void shouldKeepCachedSourcesWhenDigestsOfAnotherVersionAreFetched() {
        ChunkSourcesCache sources = ChunkSources.cached(SELF, () -> List.of(SAME_REGION, OTHER_REGION));
        ChunkSources before = sources.apply(DIGESTS.size());
        fetcher(sources).createSet("m", 2);
        assertSame(before, sources.apply(DIGESTS.size()));
    }
}
