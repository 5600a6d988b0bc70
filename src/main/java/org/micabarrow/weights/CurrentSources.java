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
 * the origin after the last agent. Agents that did not answer are skipped for a while. Thread-safe.
 */
final class CurrentSources {

    /** The name of the origin among the sources. */
    static final String ORIGIN = "origin";

    /** How long an agent that did not answer is skipped, in milliseconds. */
    private static final long PASSED_OVER_MILLIS = 8_000;

    private final IntFunction<ChunkSources> sources;
    private final ChunkSet set;
    private final Map<String, Long> silentUntil;
    private final LongSupplier steadyMillis;
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
    CurrentSources(
            IntFunction<ChunkSources> sources, ChunkSet set, Map<String, Long> silentUntil, LongSupplier steadyMillis) {
        this.sources = sources;
        this.set = set;
        this.silentUntil = silentUntil;
        this.steadyMillis = steadyMillis;
        this.positions = new AtomicIntegerArray(set.digests().size());
    }

    // -- queries

    /** The sources to fetch from: the agents of this region, and the current source of each missing chunk. */
    Set<String> toAsk() {
        ChunkSources now = now();
        Set<String> all = new LinkedHashSet<>();
        now.near().stream().filter(agent -> !silent(agent)).forEach(all::add);
        for (int i = 0; i < positions.length(); i++) {
            if (set.chunk(i).isEmpty()) {
                all.add(source(now, i));
            }
        }
        return all;
    }

    /** The chunks to request from a source. */
    BitSet wantedFrom(String source) {
        ChunkSources now = now();
        BitSet own = new BitSet();
        BitSet missing = new BitSet();
        for (int i = 0; i < positions.length(); i++) {
            if (set.chunk(i).isEmpty()) {
                missing.set(i);
                own.set(i, source(now, i).equals(source));
            }
        }
        // An agent of this region that has served all chunks requested from it may have chunks that a slower one has
        // not served.
        return own.isEmpty() && now.near().contains(source) && !silent(source) ? missing : own;
    }

    private ChunkSources now() {
        return sources.apply(positions.length());
    }

    private String source(ChunkSources now, int index) {
        List<String> agents = now.of(index);
        int position = positions.get(index);
        while (position < agents.size() && silent(agents.get(position))) {
            position++;
        }
        return position < agents.size() ? agents.get(position) : ORIGIN;
    }

    private boolean silent(String agent) {
        return silentUntil.getOrDefault(agent, Long.MIN_VALUE) > steadyMillis.getAsLong();
    }

    // -- updates

    /** Switches a chunk to its next source. */
    void askNext(int index) {
        positions.incrementAndGet(index);
    }

    /** Switches a chunk back to its first source. */
    void askFirst(int index) {
        positions.set(index, 0);
    }

    /** Switches those of the given chunks whose current source is the given one to their next source. */
    void leave(String source, BitSet indexes) {
        ChunkSources now = now();
        indexes.stream().filter(i -> isCurrent(now, i, source)).forEach(this::askNext);
    }

    private boolean isCurrent(ChunkSources now, int index, String source) {
        List<String> agents = now.of(index);
        int position = positions.get(index);
        return position < agents.size() && agents.get(position).equals(source);
    }

    /** Skips an agent that did not answer for a while. */
    void passOver(String source) {
        silentUntil.put(source, steadyMillis.getAsLong() + PASSED_OVER_MILLIS);
    }
}
