package org.micabarrow.weights;

import java.util.BitSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicIntegerArray;
import java.util.function.IntFunction;
import java.util.function.LongSupplier;

/**
 * Selects the source from which each missing chunk of a version is fetched next: an agent, in order of preference, or
 * the origin after the last agent. Agents that did not respond are skipped for a while. Thread-safe.
 */
final class SourceSelector {

    /** The name of the origin among the sources. */
    static final String ORIGIN = "origin";

    /** How long an agent that did not respond is skipped, in milliseconds. */
    private static final long SKIP_MILLIS = 8_000;

    private final IntFunction<ChunkSources> sources;
    private final ChunkSet set;
    private final Map<String, Long> unresponsiveUntil;
    private final LongSupplier monotonicMillis;
    private final AtomicIntegerArray positions;

    /**
     * Starts with the first source of each chunk.
     *
     * @param sources the sources for a number of chunks, given the agents currently known
     * @param set the chunks that are present
     * @param unresponsiveUntil the time until which each unresponsive agent is skipped; a thread-safe map owned by the
     *     caller
     * @param monotonicMillis a monotonic clock, in milliseconds
     */
    SourceSelector(
            IntFunction<ChunkSources> sources,
            ChunkSet set,
            Map<String, Long> unresponsiveUntil,
            LongSupplier monotonicMillis) {
        this.sources = sources;
        this.set = set;
        this.unresponsiveUntil = unresponsiveUntil;
        this.monotonicMillis = monotonicMillis;
        this.positions = new AtomicIntegerArray(set.digests().size());
    }

    // -- queries

    /** The sources to fetch from: the agents of this region, and the current source of each missing chunk. */
    Set<String> activeSources() {
        ChunkSources currentSources = currentSources();
        Set<String> active = new LinkedHashSet<>();
        currentSources.sameRegion().stream()
                .filter(agent -> !isUnresponsive(agent))
                .forEach(active::add);
        for (int i = 0; i < positions.length(); i++) {
            if (set.chunk(i).isEmpty()) {
                active.add(source(currentSources, i));
            }
        }
        return active;
    }

    /** The chunks to request from a source. */
    BitSet chunksWantedFrom(String source) {
        ChunkSources currentSources = currentSources();
        BitSet assigned = new BitSet();
        BitSet missing = new BitSet();
        for (int i = 0; i < positions.length(); i++) {
            if (set.chunk(i).isEmpty()) {
                missing.set(i);
                assigned.set(i, source(currentSources, i).equals(source));
            }
        }
        // An agent of this region that has served all chunks requested from it may have chunks that a slower one has
        // not served.
        return assigned.isEmpty() && currentSources.sameRegion().contains(source) && !isUnresponsive(source)
                ? missing
                : assigned;
    }

    private ChunkSources currentSources() {
        return sources.apply(positions.length());
    }

    private String source(ChunkSources currentSources, int index) {
        List<String> agents = currentSources.of(index);
        int position = positions.get(index);
        while (position < agents.size() && isUnresponsive(agents.get(position))) {
            position++;
        }
        return position < agents.size() ? agents.get(position) : ORIGIN;
    }

    private boolean isUnresponsive(String agent) {
        return unresponsiveUntil.getOrDefault(agent, Long.MIN_VALUE) > monotonicMillis.getAsLong();
    }

    // -- updates

    /** Switches a chunk to its next source. */
    void useNextSource(int index) {
        positions.incrementAndGet(index);
    }

    /** Switches a chunk back to its first source. */
    void useFirstSource(int index) {
        positions.set(index, 0);
    }

    /** Switches those of the given chunks whose current source is the given one to their next source. */
    void advancePast(String source, BitSet indexes) {
        ChunkSources currentSources = currentSources();
        indexes.stream().filter(i -> isCurrent(currentSources, i, source)).forEach(this::useNextSource);
    }

    private boolean isCurrent(ChunkSources currentSources, int index, String source) {
        List<String> agents = currentSources.of(index);
        int position = positions.get(index);
        return position < agents.size() && agents.get(position).equals(source);
    }

    /** Skips an agent that did not respond for a while. */
    void markUnresponsive(String source) {
        unresponsiveUntil.put(source, monotonicMillis.getAsLong() + SKIP_MILLIS);
    }
}
