package org.micabarrow.weights;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.BitSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.micabarrow.state.Digest;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Result;
import org.micabarrow.weights.ChunkSources.Agent;

/** Which sources are used when the origin is unavailable for longer than agents wait for each other. */
class FetchRunTest {

    private static final Agent SELF = new Agent("10.0.0.1:7000", "region-a");
    private static final Agent SAME_REGION = new Agent("10.0.0.2:7000", "region-a");
    private static final int CHUNKS = 8;

    /** How far the clock advances with each request. */
    private static final long REQUEST_MILLIS = 100;

    /** The number of requests for which the origin is unavailable: ten seconds of the clock. */
    private static final int FAILED_REQUESTS = 100;

    private final AtomicLong clock = new AtomicLong();
    private final AtomicInteger originRequests = new AtomicInteger();
    private final Set<Integer> fromOrigin = ConcurrentHashMap.newKeySet();

    private static byte[] chunk(int index) {
        return new byte[] {(byte) index};
    }

    private final class Origin implements WeightOrigin {

        @Override
        public Result<List<String>> digests(String address, String model, long version) {
            return Result.success(IntStream.range(0, CHUNKS)
                    .mapToObj(index -> Digest.of(FetchRunTest.chunk(index)))
                    .toList());
        }

        @Override
        public Result<byte[]> chunk(String address, String model, long version, int index) {
            clock.addAndGet(REQUEST_MILLIS);
            if (originRequests.incrementAndGet() <= FAILED_REQUESTS) {
                return Result.failure(Fault.of(Fault.Step.FETCH, address, Fault.Reason.UNREACHABLE, "unavailable"));
            }
            fromOrigin.add(index);
            return Result.success(FetchRunTest.chunk(index));
        }
    }

    /** A peer that waits for the origin too, and serves its own chunks once the origin is back. */
    private final class Peer implements ChunkPeers {

        @Override
        public Result<List<String>> digests(String agent, String model, long version) {
            return Result.failure(Fault.of(Fault.Step.FETCH, agent, Fault.Reason.NOT_FOUND, "none"));
        }

        @Override
        public Result<IndexedChunk> fetchAnyOf(String agent, String model, long version, BitSet wanted) {
            clock.addAndGet(REQUEST_MILLIS);
            if (fromOrigin.size() < CHUNKS / 2) {
                return Result.failure(Fault.of(Fault.Step.FETCH, agent, Fault.Reason.NOT_READY, "still fetching"));
            }
            int index = wanted.nextSetBit(0);
            return Result.success(new IndexedChunk(index, FetchRunTest.chunk(index)));
        }
    }

    @Test
    @Timeout(60)
    void shouldFetchOnlyOwnChunksFromOriginWhenItIsBack() throws Exception {
        ChunkSourcesCache sources = ChunkSources.cached(SELF, () -> List.of(SELF, SAME_REGION));
        ChunkFetcher fetcher = new ChunkFetcher(new ChunkFetcher.Dependencies(
                new Peer(), new Origin(), () -> Optional.of("origin:80"), sources, bytes -> {}, clock::get));
        ChunkSet set = fetcher.createSet("m", 2).toOptional().orElseThrow();
        fetcher.fetch(set, () -> true);
        assertTrue(set.isComplete());
        assertEquals(CHUNKS / 2, fromOrigin.size(), "each of two agents leads for half of the chunks");
    }

    // -- an agent that leads for no chunk

    /** How long the origin is unavailable: several times as long as agents wait for each other. */
    private static final long OUTAGE_MILLIS = 15_000;

    /**
     * The interval after that at which the leaders get their chunks, one after the other: a copy leaves the origin in
     * more time than agents wait for each other.
     */
    private static final long LEADER_INTERVAL_MILLIS = 600;

    private final class UnavailableOrigin implements WeightOrigin {

        @Override
        public Result<List<String>> digests(String address, String model, long version) {
            return new Origin().digests(address, model, version);
        }

        @Override
        public Result<byte[]> chunk(String address, String model, long version, int index) {
            if (clock.get() < OUTAGE_MILLIS) {
                return Result.failure(Fault.of(Fault.Step.FETCH, address, Fault.Reason.UNREACHABLE, "unavailable"));
            }
            fromOrigin.add(index);
            return Result.success(FetchRunTest.chunk(index));
        }
    }

    /** Other agents, which get their chunks only when the origin is back. */
    private final class WaitingPeers implements ChunkPeers {

        @Override
        public Result<List<String>> digests(String agent, String model, long version) {
            return Result.failure(Fault.of(Fault.Step.FETCH, agent, Fault.Reason.NOT_FOUND, "none"));
        }

        @Override
        public Result<IndexedChunk> fetchAnyOf(String agent, String model, long version, BitSet wanted) {
            clock.addAndGet(REQUEST_MILLIS);
            boolean available = clock.get() - OUTAGE_MILLIS > LEADER_INTERVAL_MILLIS * (1 + wanted.nextSetBit(0));
            if (!available) {
                return Result.failure(Fault.of(Fault.Step.FETCH, agent, Fault.Reason.NOT_READY, "still fetching"));
            }
            int index = wanted.nextSetBit(0);
            return Result.success(new IndexedChunk(index, FetchRunTest.chunk(index)));
        }
    }

    /** More agents than chunks, so that some lead for none. The last is alone in its region. */
    private static List<Agent> agents(Agent self) {
        Stream<Agent> others =
                IntStream.rangeClosed(1, CHUNKS + 2).mapToObj(i -> new Agent("10.0.0." + i + ":7000", "region-a"));
        return Stream.concat(others, Stream.of(self)).toList();
    }

    /** An agent that leads for no chunk, and is alone in its region. */
    private static Agent withoutChunks() {
        return IntStream.rangeClosed(1, 100)
                .mapToObj(i -> new Agent("10.0.1." + i + ":7000", "region-b"))
                .filter(self -> {
                    ChunkSources sources = ChunkSources.of(self, agents(self), CHUNKS);
                    return IntStream.range(0, CHUNKS)
                            .noneMatch(index -> sources.of(index).isEmpty());
                })
                .findFirst()
                .orElseThrow();
    }

    @Test
    @Timeout(60)
    void shouldLeaveOriginToLeadersWhenItIsBackAfterLongOutage() throws Exception {
        Agent self = withoutChunks();
        ChunkSourcesCache sources = ChunkSources.cached(self, () -> agents(self));
        ChunkFetcher fetcher = new ChunkFetcher(new ChunkFetcher.Dependencies(
                new WaitingPeers(),
                new UnavailableOrigin(),
                () -> Optional.of("origin:80"),
                sources,
                bytes -> {},
                clock::get));
        ChunkSet set = fetcher.createSet("m", 2).toOptional().orElseThrow();
        fetcher.fetch(set, () -> true);
        assertTrue(set.isComplete());
        assertTrue(fromOrigin.size() <= 1, "from the origin, besides a probe: " + fromOrigin);
    }
}
