package org.micabarrow.weights;

import java.util.BitSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.function.BooleanSupplier;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Result;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Fetches one version, with one thread for each source that requests any of the chunks wanted from it. The chunks of a
 * source that fails, or takes too long, are reassigned to their next sources.
 */
final class FetchRun {

    private static final Logger LOG = LoggerFactory.getLogger(FetchRun.class);

    /**
     * How long to wait for an agent that is still fetching while no chunk arrives from any source, in milliseconds: a
     * version takes some three seconds on an agent's link, and another copy from the origin costs more than the wait.
     */
    private static final long FETCHING_TIMEOUT_MILLIS = 3_500;

    /**
     * How long a chunk from the origin shows that it delivers, in milliseconds: all threads that wait for agents check
     * at least this often.
     */
    private static final long PROBE_VALID_MILLIS = 1_000;

    /**
     * How long to wait for an agent that has not started to fetch, in milliseconds: it may learn of the version later.
     */
    private static final long NOT_STARTED_TIMEOUT_MILLIS = 700;

    /** The pause after a request that returned no chunk, in milliseconds. */
    private static final long RETRY_MILLIS = 30;

    /** The pause between checks for missing chunks and for sources without a thread, in milliseconds: a chunk's time. */
    private static final long CHECK_MILLIS = 60;

    /**
     * The pause after a failed request to the origin, in milliseconds: while it is unavailable, every agent retries
     * repeatedly.
     */
    private static final long ORIGIN_RETRY_MILLIS = 120;

    private final ChunkFetcher.Dependencies dependencies;
    private final ChunkSet set;
    private final BooleanSupplier wanted;
    private final SourceSelector selector;
    private final OriginTurns originTurns;
    private final Set<String> runningSources = ConcurrentHashMap.newKeySet();
    private volatile int originCursor;
    private volatile long originFailedAtMillis = Long.MIN_VALUE / 2;
    private volatile long lastChunkAtMillis = Long.MIN_VALUE / 2;
    private volatile long originProbedAtMillis = Long.MIN_VALUE / 2;
    private final Semaphore originProbe = new Semaphore(1);

    FetchRun(ChunkFetcher.Dependencies dependencies, SourceSelector selector, ChunkSet set, BooleanSupplier wanted) {
        this.dependencies = dependencies;
        this.selector = selector;
        this.set = set;
        this.wanted = wanted;
        this.originTurns = new OriginTurns(set, dependencies.monotonicMillis());
    }

    /** Fetches until all chunks are present or the version is no longer wanted. */
    void run() throws InterruptedException {
        while (!set.isComplete() && wanted.getAsBoolean()) {
            selector.activeSources().forEach(this::startSource);
            Thread.sleep(CHECK_MILLIS);
        }
    }

    private void startSource(String source) {
        if (runningSources.add(source)) {
            Thread.ofPlatform().name("fetch-" + source).daemon().start(() -> fetchFrom(source));
        }
    }

    private long now() {
        return dependencies.monotonicMillis().getAsLong();
    }

    // -- one source

    private void fetchFrom(String source) {
        long startedMillis = now();
        try {
            BitSet indexes = selector.chunksWantedFrom(source);
            while (!indexes.isEmpty() && wanted.getAsBoolean()) {
                if (!fetchOnce(source, indexes, waitedMillis(startedMillis))) {
                    Thread.sleep(pauseMillis(source));
                }
                indexes = selector.chunksWantedFrom(source);
            }
        } catch (InterruptedException e) {
            LOG.info("event=fetch_stopped model={} version={}", set.model(), set.version());
        } finally {
            runningSources.remove(source);
        }
    }

    private long pauseMillis(String source) {
        boolean originFailed =
                source.equals(SourceSelector.ORIGIN) && now() - originFailedAtMillis < ORIGIN_RETRY_MILLIS;
        return originFailed ? ORIGIN_RETRY_MILLIS : RETRY_MILLIS;
    }

    /**
     * How long no chunk has arrived from any source, in milliseconds. Chunks leave the origin in turn, so an agent gets
     * the last of its own only when nearly the whole copy has left it. While the origin is unavailable no agent can get
     * any, so the wait restarts at the last failure of the origin. Otherwise all agents request chunks of others from
     * the origin as well, whose link is then saturated for seconds.
     */
    private long waitedMillis(long startedMillis) {
        return now() - Math.max(startedMillis, Math.max(lastChunkAtMillis, originFailedAtMillis));
    }

    private boolean fetchOnce(String source, BitSet indexes, long waitedMillis) {
        if (source.equals(SourceSelector.ORIGIN)) {
            BitSet due = originTurns.due(indexes);
            return !due.isEmpty() && fetchFromOrigin(nextOriginChunk(due));
        }
        return switch (dependencies.peers().fetchAnyOf(source, set.model(), set.version(), indexes)) {
            case Result.Success<ChunkPeers.IndexedChunk>(ChunkPeers.IndexedChunk(int index, byte[] bytes)) ->
                addChunk(source, index, bytes);
            case Result.Failure<ChunkPeers.IndexedChunk>(Fault fault) -> {
                handleFailure(source, indexes, fault, waitedMillis);
                yield false;
            }
        };
    }

    /** Iterates over the chunks round-robin, so that a chunk that the origin does not deliver delays no other. */
    private int nextOriginChunk(BitSet indexes) {
        int next = indexes.nextSetBit(originCursor);
        int index = next >= 0 ? next : indexes.nextSetBit(0);
        originCursor = index + 1;
        return index;
    }

    private boolean fetchFromOrigin(int index) {
        Optional<String> address = dependencies.originAddress().get();
        if (address.isEmpty()) {
            return false;
        }
        long requestedMillis = now();
        return switch (dependencies.origin().chunk(address.get(), set.model(), set.version(), index)) {
            case Result.Success<byte[]>(byte[] bytes) -> {
                originTurns.onOriginDelivered(now() - requestedMillis);
                yield addChunk(SourceSelector.ORIGIN, index, bytes);
            }
            case Result.Failure<byte[]>(Fault fault) -> {
                originFailedAtMillis = now();
                originTurns.onOriginFailed();
                logMissed(SourceSelector.ORIGIN, 1, fault.toString());
                // Other agents may have the chunk by now.
                selector.useFirstSource(index);
                yield false;
            }
        };
    }

    private boolean addChunk(String source, int index, byte[] bytes) {
        int chunks = set.digests().size();
        if (index < 0 || index >= chunks || !set.put(index, bytes)) {
            logMissed(source, 1, "chunk digest mismatch");
            selector.useNextSource(Math.clamp(index, 0, chunks - 1));
            return false;
        }
        lastChunkAtMillis = now();
        LOG.debug("event=chunk_here model={} version={} chunk={} from={}", set.model(), set.version(), index, source);
        // Chunks of the origin are not throttled here: they are few, the link of the origin, which all agents share,
        // limits them already, and the origin may become unavailable.
        if (!source.equals(SourceSelector.ORIGIN)) {
            dependencies.downlink().accept(bytes.length);
        }
        return true;
    }

    private void handleFailure(String source, BitSet indexes, Fault fault, long waitedMillis) {
        boolean reassign = switch (fault.reason()) {
            case NOT_READY -> waitedMillis > FETCHING_TIMEOUT_MILLIS && originDelivers(indexes);
            case NOT_FOUND -> waitedMillis > NOT_STARTED_TIMEOUT_MILLIS;
            default -> {
                selector.markUnresponsive(source);
                yield true;
            }
        };
        if (reassign) {
            logMissed(source, indexes.cardinality(), fault.toString());
            selector.advancePast(source, indexes);
        }
    }

    /**
     * Whether the origin delivers a chunk, so that an agent that still lacks its own is to be passed over. An agent that
     * leads for no chunk does not notice otherwise that the origin is unavailable, and when it is back would request
     * from it what others already do.
     */
    private boolean originDelivers(BitSet indexes) {
        if (now() - originProbedAtMillis <= PROBE_VALID_MILLIS) {
            return true;
        }
        if (!originProbe.tryAcquire()) {
            return false;
        }
        try {
            boolean delivers = fetchFromOrigin(indexes.nextSetBit(0));
            if (delivers) {
                originProbedAtMillis = now();
            }
            return delivers;
        } finally {
            originProbe.release();
        }
    }

    private void logMissed(String source, int chunks, String reason) {
        LOG.info(
                "event=chunks_missed model={} version={} chunks={} from={} why=\"{}\"",
                set.model(),
                set.version(),
                chunks,
                source,
                reason);
    }
}
