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
}
