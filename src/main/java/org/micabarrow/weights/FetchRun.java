package org.micabarrow.weights;

import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicIntegerArray;
import java.util.function.Supplier;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Result;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The fetching of one version. Each chunk has a present source; one thread a source asks it for any of the chunks that are
 * wanted from it. A source that fails, or keeps this agent waiting too long, loses its chunks to the next.
 */
final class FetchRun {

    private static final Logger LOG = LoggerFactory.getLogger(FetchRun.class);

    /** How long an agent that did not answer is passed over, in milliseconds. */
    private static final long PASSED_OVER_MILLIS = 8_000;

    /**
     * How long to wait for an agent that is fetching itself, in milliseconds: a version takes some three seconds on an
     * agent's link, and another copy from the origin costs more than the wait.
     */
    private static final long FETCHING_MILLIS = 3_500;

    /** How long to wait for an agent that has not begun to fetch, in milliseconds: it may just hear later. */
    private static final long UNAWARE_MILLIS = 700;

    /** The pause after a question that brought no chunk, and between looks at what is missing, in milliseconds. */
    private static final long AGAIN_MILLIS = 30;

    /** Stands for the origin among the names of sources. */
    private static final String ORIGIN = "origin";

    private final ChunkFetcher.Parts parts;
    private final Map<String, Long> silentUntil;
    private final ChunkSet set;
    private final Supplier<Boolean> wanted;
    private final AtomicIntegerArray positions;
    private final Set<String> asked = ConcurrentHashMap.newKeySet();
    private volatile int originCursor;

    FetchRun(ChunkFetcher.Parts parts, Map<String, Long> silentUntil, ChunkSet set, Supplier<Boolean> wanted) {
        this.parts = parts;
        this.silentUntil = silentUntil;
        this.set = set;
        this.wanted = wanted;
        this.positions = new AtomicIntegerArray(set.digests().size());
    }

    /** Fetches until all chunks are here or the version is no longer wanted. */
    void run() throws InterruptedException {
        while (!set.complete() && wanted.get()) {
            ChunkSources sources = parts.sources().get();
            sources.near().stream().filter(agent -> !silent(agent)).forEach(this::ask);
            for (int i = 0; i < positions.length(); i++) {
                if (set.chunk(i).isEmpty()) {
                    ask(source(sources, i));
                }
            }
            Thread.sleep(AGAIN_MILLIS);
        }
    }

    private void ask(String source) {
        if (asked.add(source)) {
            Thread thread = new Thread(() -> askUntilDone(source), "fetch-" + source);
            thread.setDaemon(true);
            thread.start();
        }
    }

    // -- sources of chunks

    private String source(ChunkSources sources, int index) {
        List<String> agents = sources.of(index);
        int position = positions.get(index);
        while (position < agents.size() && silent(agents.get(position))) {
            position++;
        }
        return position < agents.size() ? agents.get(position) : ORIGIN;
    }

    private boolean silent(String agent) {
        return silentUntil.getOrDefault(agent, Long.MIN_VALUE) > now();
    }

    private BitSet wantedFrom(String source) {
        ChunkSources sources = parts.sources().get();
        BitSet own = new BitSet();
        BitSet missing = new BitSet();
        for (int i = 0; i < positions.length(); i++) {
            if (set.chunk(i).isEmpty()) {
                missing.set(i);
                own.set(i, source(sources, i).equals(source));
            }
        }
        // An agent nearby that has given all that is wanted from it may have what a slower one still owes.
        return own.isEmpty() && sources.near().contains(source) && !silent(source) ? missing : own;
    }

    private long now() {
        return parts.steadyMillis().getAsLong();
    }

    // -- one source

    private void askUntilDone(String source) {
        long lastGivenMillis = now();
        try {
            BitSet indexes = wantedFrom(source);
            while (!indexes.isEmpty() && wanted.get()) {
                if (askOnce(source, indexes, now() - lastGivenMillis)) {
                    lastGivenMillis = now();
                } else {
                    Thread.sleep(AGAIN_MILLIS);
                }
                indexes = wantedFrom(source);
            }
        } catch (InterruptedException e) {
            LOG.info("event=fetch_stopped model={} version={}", set.model(), set.version());
        } finally {
            asked.remove(source);
        }
    }

    private boolean askOnce(String source, BitSet indexes, long waitedMillis) {
        if (source.equals(ORIGIN)) {
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

    /** Goes round the chunks, so that one which the origin does not give holds up no other. */
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
            case Result.Success<byte[]>(byte[] bytes) -> taken(ORIGIN, index, bytes);
            case Result.Failure<byte[]>(Fault fault) -> {
                missed(ORIGIN, 1, fault.toString());
                // Agents may have the chunk by now.
                positions.set(index, 0);
                yield false;
            }
        };
    }

    private boolean taken(String source, int index, byte[] bytes) {
        if (index < 0 || index >= positions.length() || !set.put(index, bytes)) {
            missed(source, 1, "the digest is wrong");
            positions.incrementAndGet(Math.clamp(index, 0, positions.length() - 1));
            return false;
        }
        LOG.debug("event=chunk_here model={} version={} chunk={} from={}", set.model(), set.version(), index, source);
        parts.downlink().accept(bytes.length);
        return true;
    }

    private void notGiven(String source, BitSet indexes, Fault fault, long waitedMillis) {
        boolean goOn = switch (fault.reason()) {
            case NOT_READY -> waitedMillis > FETCHING_MILLIS;
            case NOT_FOUND -> waitedMillis > UNAWARE_MILLIS;
            default -> {
                silentUntil.put(source, now() + PASSED_OVER_MILLIS);
                yield true;
            }
        };
        if (goOn) {
            missed(source, indexes.cardinality(), fault.toString());
            ChunkSources sources = parts.sources().get();
            indexes.stream().filter(i -> isPresent(sources, i, source)).forEach(positions::incrementAndGet);
        }
    }

    private boolean isPresent(ChunkSources sources, int index, String source) {
        List<String> agents = sources.of(index);
        int position = positions.get(index);
        return position < agents.size() && agents.get(position).equals(source);
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
