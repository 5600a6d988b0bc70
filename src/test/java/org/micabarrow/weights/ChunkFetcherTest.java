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
    private static final Agent NEAR = new Agent("10.0.0.2:7000", "region-a");
    private static final Agent ALSO_NEAR = new Agent("10.0.0.3:7000", "region-a");
    private static final Agent FAR = new Agent("10.1.0.1:7000", "region-b");
    private static final List<String> DIGESTS = List.of(Digest.of(new byte[] {1}), Digest.of(new byte[] {2}));

    private final FakePeers peers = new FakePeers();

    /** Peers of which one has the digests. */
    private static final class FakePeers implements ChunkPeers {

        private final List<String> asked = new ArrayList<>();
        private String holder = "nobody";

        @Override
        public Result<List<String>> digests(String agent, String model, long version) {
            asked.add(agent);
            return agent.equals(holder) ? Result.success(DIGESTS) : none(agent);
        }

        @Override
        public Result<Numbered> anyOf(String agent, String model, long version, BitSet wanted) {
            return none(agent);
        }
    }

    /** An origin without any version. */
    private static final class EmptyOrigin implements WeightOrigin {

        @Override
        public Result<List<String>> digests(String address, String model, long version) {
            return none(address);
        }

        @Override
        public Result<byte[]> chunk(String address, String model, long version, int index) {
            return none(address);
        }
    }

    private static <T> Result<T> none(String whom) {
        return Result.failure(Fault.of(Fault.Step.FETCH, whom, Fault.Reason.NOT_FOUND, "none"));
    }

    private ChunkFetcher fetcher(ChunkSourcesCache sources) {
        return new ChunkFetcher(new ChunkFetcher.Parts(
                peers, new EmptyOrigin(), () -> Optional.of("origin:80"), sources, bytes -> {}, () -> 0));
    }

    @Test
    void shouldAskAgentsNearbyAndOneOfAnotherRegionWhenOriginHasNoDigests() {
        List<Agent> agents = List.of(FAR, SELF, NEAR, ALSO_NEAR);
        for (Agent self : List.of(SELF, NEAR, ALSO_NEAR)) {
            peers.asked.clear();
            fetcher(ChunkSources.following(self, () -> agents)).createSet("m", 2);
            assertEquals(3, peers.asked.size(), "asked by " + self);
            assertEquals(FAR.address(), peers.asked.getLast(), "asked by " + self);
            assertEquals(
                    Set.of(SELF.address(), NEAR.address(), ALSO_NEAR.address(), FAR.address()),
                    Stream.concat(peers.asked.stream(), Stream.of(self.address()))
                            .collect(Collectors.toSet()));
        }
    }

    @Test
    void shouldTakeDigestsOfFirstAgentThatHasThem() {
        peers.holder = NEAR.address();
        Result<ChunkSet> set =
                fetcher(ChunkSources.following(SELF, () -> List.of(NEAR, FAR))).createSet("m", 2);
        assertEquals(DIGESTS, set.toOptional().orElseThrow().digests());
        assertEquals(List.of(NEAR.address()), peers.asked);
    }

    @Test
    void shouldSayWhyWhenNobodyHasDigests() {
        Result<ChunkSet> set = fetcher(ChunkSources.following(SELF, List::of)).createSet("m", 2);
        assertTrue(set.cause().isPresent());
        assertEquals(List.of(), peers.asked);
    }

    @Test
    void shouldKeepSourcesOfVersionWhenDigestsOfAnotherAreAskedFor() {
        ChunkSourcesCache sources = ChunkSources.following(SELF, () -> List.of(NEAR, FAR));
        ChunkSources before = sources.apply(DIGESTS.size());
        fetcher(sources).createSet("m", 2);
        assertSame(before, sources.apply(DIGESTS.size()));
    }
}
