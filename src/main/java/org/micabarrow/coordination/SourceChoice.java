package org.micabarrow.coordination;

import java.util.Arrays;
import java.util.List;
import java.util.Objects;

/**
 * Decides from which source to ask next. Sources come in the plan's order; one that failed is held against for a while,
 * longer each time, so that a receiver goes back to the better source when that has recovered.
 *
 * <p>Used by one thread.
 *
 * <pre>{@code
 * SourceChoice choice = SourceChoice.of(Source.order(placed, "norte-a-1"));
 * Source source = choice.next(now);
 * choice.failed(source, now);
 * }</pre>
 */
public final class SourceChoice {

    private static final long FIRST_PENALTY_MILLIS = 400;
    private static final long LONGEST_PENALTY_MILLIS = 12_800;

    private final List<Source> sources;
    private final long[] until;
    private final int[] failures;

    private SourceChoice(List<Source> sources) {
        this.sources = List.copyOf(sources);
        this.until = new long[sources.size()];
        this.failures = new int[sources.size()];
    }

    /**
     * Starts with sources that nothing is held against.
     *
     * @param sources the sources, the best first
     * @return the choice
     */
    public static SourceChoice of(List<Source> sources) {
        Objects.requireNonNull(sources, "sources is null");
        if (sources.isEmpty()) {
            throw new IllegalArgumentException("there must be a source");
        }
        return new SourceChoice(sources);
    }

    /**
     * The source to ask.
     *
     * @param nowMillis the time
     * @return the first that nothing is held against, else the one that is free soonest
     */
    public Source next(long nowMillis) {
        int best = 0;
        for (int i = 0; i < until.length; i++) {
            if (until[i] <= nowMillis) {
                return sources.get(i);
            }
            best = until[i] < until[best] ? i : best;
        }
        return sources.get(best);
    }

    /**
     * Whether a better source than the one in use may be asked again.
     *
     * @param used the source in use
     * @param nowMillis the time
     * @return true if one that stands before it in the plan's order has nothing held against it any more
     */
    public boolean betterThan(Source used, long nowMillis) {
        for (int i = 0; i < sources.indexOf(used); i++) {
            if (until[i] <= nowMillis) {
                return true;
            }
        }
        return false;
    }

    /**
     * How long until the source that {@link #next} gives may be asked.
     *
     * @param nowMillis the time
     * @return milliseconds, 0 for at once
     */
    public long waitMillis(long nowMillis) {
        long soonest = Arrays.stream(until).min().orElse(0);
        return Math.max(0, soonest - nowMillis);
    }

    /**
     * Holds a failure against a source.
     *
     * @param source the source
     * @param nowMillis the time
     */
    public void failed(Source source, long nowMillis) {
        int i = sources.indexOf(source);
        long penalty = Math.min(LONGEST_PENALTY_MILLIS, FIRST_PENALTY_MILLIS << Math.min(failures[i], 10));
        failures[i]++;
        until[i] = nowMillis + penalty;
    }

    /**
     * Forgets the failures of a source that has delivered.
     *
     * @param source the source
     */
    public void delivered(Source source) {
        failures[sources.indexOf(source)] = 0;
    }
}
