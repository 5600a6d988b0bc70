package org.micabarrow.weights;

import java.util.BitSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
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
     * How long to wait for an agent that is still fetching, in milliseconds: a version takes some three seconds on an
     * agent's link, and another copy from the origin costs more than the wait.
     */
    private static final long FETCHING_MILLIS = 3_500;

    /**
     * How long to wait for an agent that has not started to fetch, in milliseconds: it may learn of the version later.
     */
    private static final long UNAWARE_MILLIS = 700;

    /** The pause after a request that returned no chunk, and between checks for missing chunks, in milliseconds. */
    private static final long AGAIN_MILLIS = 30;

    /**
     * The pause after a failed request to the origin, in milliseconds: while it is unavailable, every agent retries
     * repeatedly.
     */
    private static final long ORIGIN_AGAIN_MILLIS = 120;

    private final ChunkFetcher.Parts parts;
    private final ChunkSet set;
    private final BooleanSupplier wanted;
    private final CurrentSources current;
    private final Set<String> asked = ConcurrentHashMap.newKeySet();
    private volatile int originCursor;
    private volatile long originFailedMillis = Long.MIN_VALUE / 2;

    FetchRun(ChunkFetcher.Parts parts, CurrentSources current, ChunkSet set, BooleanSupplier wanted) {
        this.parts = parts;
        this.current = current;
        this.set = set;
        this.wanted = wanted;
    }

    /** Fetches until all chunks are present or the version is no longer wanted. */
    void run() throws InterruptedException {
        while (!set.complete() && wanted.getAsBoolean()) {
            current.toAsk().forEach(this::ask);
            Thread.sleep(AGAIN_MILLIS);
        }
    }

    private void ask(String source) {
        if (asked.add(source)) {
            Thread.ofPlatform().name("fetch-" + source).daemon().start(() -> askUntilDone(source));
        }
    }

    private long now() {
        return parts.steadyMillis().getAsLong();
    }

    // -- one source

    private void askUntilDone(String source) {
        long lastGivenMillis = now();
        try {
            BitSet indexes = current.wantedFrom(source);
            while (!indexes.isEmpty() && wanted.getAsBoolean()) {
                if (askOnce(source, indexes, waitedMillis(lastGivenMillis))) {
                    lastGivenMillis = now();
                } else {
                    Thread.sleep(source.equals(CurrentSources.ORIGIN) ? ORIGIN_AGAIN_MILLIS : AGAIN_MILLIS);
                }
                indexes = current.wantedFrom(source);
            }
        } catch (InterruptedException e) {
            LOG.info("event=fetch_stopped model={} version={}", set.model(), set.version());
        } finally {
            asked.remove(source);
        }
    }

    /**
     * How long an agent has failed to deliver its chunks, in milliseconds. While the origin is unavailable no agent can
     * get them, so the wait restarts at the last failure of the origin. Otherwise all agents request all chunks from
     * the origin once it is back, and its link, which carries one copy in 1.7 s, is saturated for seconds: a version
     * took 6.6 s after the origin's return instead of the usual 4.4 s.
     */
    private long waitedMillis(long lastGivenMillis) {
        return now() - Math.max(lastGivenMillis, originFailedMillis);
    }

    private boolean askOnce(String source, BitSet indexes, long waitedMillis) {
        if (source.equals(CurrentSources.ORIGIN)) {
            return askOrigin(nextForOrigin(indexes));
        }
        return switch (parts.peers().anyOf(source, set.model(), set.version(), indexes)) {
            case Result.Success<ChunkPeers.Numbered>(ChunkPeers.Numbered(int index, byte[] bytes)) ->
                taken(source, index, bytes);
            case Result.Failure<ChunkPeers.Numbered>(Fault fault) -> {
                notGiven(source, indexes, fault, waitedMillis);
                yield false;
            }
        };
    }

    /** Iterates over the chunks round-robin, so that a chunk that the origin does not deliver delays no other. */
    private int nextForOrigin(BitSet indexes) {
        int next = indexes.nextSetBit(originCursor);
        int index = next >= 0 ? next : indexes.nextSetBit(0);
        originCursor = index + 1;
        return index;
    }

    private boolean askOrigin(int index) {
        Optional<String> address = parts.originAddress().get();
        if (address.isEmpty()) {
            return false;
        }
        return switch (parts.origin().chunk(address.get(), set.model(), set.version(), index)) {
            case Result.Success<byte[]>(byte[] bytes) -> taken(CurrentSources.ORIGIN, index, bytes);
            case Result.Failure<byte[]>(Fault fault) -> {
                originFailedMillis = now();
                missed(CurrentSources.ORIGIN, 1, fault.toString());
                // Other agents may have the chunk by now.
                current.askFirst(index);
                yield false;
            }
        };
    }

    private boolean taken(String source, int index, byte[] bytes) {
        int chunks = set.digests().size();
        if (index < 0 || index >= chunks || !set.put(index, bytes)) {
            missed(source, 1, "the digest is wrong");
            current.askNext(Math.clamp(index, 0, chunks - 1));
            return false;
        }
        LOG.debug("event=chunk_here model={} version={} chunk={} from={}", set.model(), set.version(), index, source);
        // Chunks of the origin are not throttled here: they are few, the link of the origin, which all agents share,
        // limits them already, and the origin may become unavailable.
        if (!source.equals(CurrentSources.ORIGIN)) {
            parts.downlink().accept(bytes.length);
        }
        return true;
    }

    private void notGiven(String source, BitSet indexes, Fault fault, long waitedMillis) {
        boolean goOn = switch (fault.reason()) {
            case NOT_READY -> waitedMillis > FETCHING_MILLIS;
            case NOT_FOUND -> waitedMillis > UNAWARE_MILLIS;
            default -> {
                current.passOver(source);
                yield true;
            }
        };
        if (goOn) {
            missed(source, indexes.cardinality(), fault.toString());
            current.leave(source, indexes);
        }
    }

    private void missed(String source, int chunks, String why) {
        LOG.info(
                "event=chunks_missed model={} version={} chunks={} from={} why=\"{}\"",
                set.model(),
                set.version(),
                chunks,
                source,
                why);
    }
}
