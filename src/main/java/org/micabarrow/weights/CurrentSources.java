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
 * The source that each missing chunk of a version is asked from now: one of the agents in their order, or the
 * origin after the last. Agents that did not answer are passed over for a while. Safe for any number of threads.
 */
final class CurrentSources {

    /** Stands for the origin among the names of sources. */
    static final String ORIGIN = "origin";

    /** How long an agent that did not answer is passed over, in milliseconds. */
    private static final long PASSED_OVER_MILLIS = 8_000;

    private final IntFunction<ChunkSources> sources;
    private final ChunkSet set;
    private final Map<String, Long> silentUntil;
    private final LongSupplier steadyMillis;
    private final AtomicIntegerArray positions;

    /**
     * Begins with the first agent for each chunk.
     *
     * @param sources whom to ask for which chunk of so many, as seen now
     * @param set the chunks that are here
     * @param silentUntil until when agents are passed over; kept by the caller, safe for any number of threads
     * @param steadyMillis a clock that never steps, in milliseconds
     */
    CurrentSources(
            IntFunction<ChunkSources> sources, ChunkSet set, Map<String, Long> silentUntil, LongSupplier steadyMillis) {
        this.sources = sources;
        this.set = set;
        this.silentUntil = silentUntil;
        this.steadyMillis = steadyMillis;
        this.positions = new AtomicIntegerArray(set.digests().size());
    }

    // -- questions

    /** The sources to ask: the agents nearby, and the current source of each missing chunk. */
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

    /** The chunks to ask a source for. */
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
        // An agent nearby that has given all that is wanted from it may have what a slower one still owes.
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

    // -- changes

    /** Asks for a chunk from the next source. */
    void askNext(int index) {
        positions.incrementAndGet(index);
    }

    /** Asks for a chunk from the first source again. */
    void askFirst(int index) {
        positions.set(index, 0);
    }

    /** Asks for those of some chunks that come from a source from the next one. */
    void leave(String source, BitSet indexes) {
        ChunkSources now = now();
        indexes.stream().filter(i -> isCurrent(now, i, source)).forEach(this::askNext);
    }

    private boolean isCurrent(ChunkSources now, int index, String source) {
        List<String> agents = now.of(index);
        int position = positions.get(index);
        return position < agents.size() && agents.get(position).equals(source);
    }

    /** Asks an agent that did not answer for nothing for a while. */
    void passOver(String source) {
        silentUntil.put(source, steadyMillis.getAsLong() + PASSED_OVER_MILLIS);
    }
}
