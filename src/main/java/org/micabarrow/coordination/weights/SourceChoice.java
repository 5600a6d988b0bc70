package org.micabarrow.coordination.weights;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * Decides from which source to ask next. Sources come in the plan's order; one that failed is left out for a while,
 * longer each time, so that a receiver goes back to the better source when that has recovered.
 *
 * <p>Used by one thread.
 *
 * <pre>{@code
 * SourceChoice choice = SourceChoice.of(Source.order(placed, "hall-a-1"));
 * Source source = choice.next(now);
 * choice.failed(source, false, now);
 * }</pre>
 */
public final class SourceChoice {

    /**
     * How long a source is left out after its first failure, in milliseconds; it doubles with each further one.
     */
    private static final long FIRST_PENALTY_MILLIS = 400;

    /**
     * The same after a first stall, which is as costly to find out again as the wait for a chunk.
     */
    private static final long FIRST_STALL_PENALTY_MILLIS = 6_400;

    /** The longest time for which a source is left out, in milliseconds. */
    private static final long LONGEST_PENALTY_MILLIS = 12_800;

    /** The longest wait for a source while all are left out, in milliseconds. */
    private static final long LONGEST_WAIT_MILLIS = 100;

    private final List<Source> sources;
    private final List<Source> afterStall;
    private final Map<Source, Penalty> penalties = new HashMap<>();

    private SourceChoice(List<Source> sources, List<Source> afterStall) {
        this.sources = List.copyOf(sources);
        this.afterStall = List.copyOf(afterStall);
    }

    /** The time until which a source is left out, and why. */
    private record Penalty(long untilMillis, int failures, boolean stalled) {}

    /**
     * Starts with sources of which none is left out.
     *
     * @param sources the sources, the best first
     * @return the choice
     */
    public static SourceChoice of(List<Source> sources) {
        return of(sources, sources);
    }

    /**
     * Starts with sources of which none is left out.
     *
     * @param sources the sources, the best first
     * @param afterStall the sources in the order that holds while one of them is left out for a stall
     * @return the choice
     */
    public static SourceChoice of(List<Source> sources, List<Source> afterStall) {
        Objects.requireNonNull(sources, "sources is null");
        Objects.requireNonNull(afterStall, "afterStall is null");
        if (sources.isEmpty()) {
            throw new IllegalArgumentException("there must be a source");
        }
        return new SourceChoice(sources, afterStall);
    }

    private boolean free(Source source, long nowMillis) {
        return untilMillis(source) <= nowMillis;
    }

    private long untilMillis(Source source) {
        Penalty one = penalties.get(source);
        return one == null ? 0 : one.untilMillis();
    }

    /** The order that holds now. */
    private List<Source> order(long nowMillis) {
        boolean stalled = penalties.values().stream().anyMatch(one -> one.stalled() && one.untilMillis() > nowMillis);
        return stalled ? afterStall : sources;
    }

    /**
     * The source to ask.
     *
     * @param nowMillis the time
     * @return the first that is not left out, else the one that is free soonest
     */
    public Source next(long nowMillis) {
        List<Source> order = order(nowMillis);
        return order.stream()
                .filter(source -> free(source, nowMillis))
                .findFirst()
                .orElseGet(() -> order.stream()
                        .min(Comparator.comparingLong(this::untilMillis))
                        .orElseThrow());
    }

    /**
     * Whether a better source than the one in use may be asked again.
     *
     * @param used the source in use
     * @param nowMillis the time
     * @return true if one that stands before it in the plan's order is not left out any more
     */
    public boolean betterThan(Source used, long nowMillis) {
        return order(nowMillis).stream()
                .takeWhile(source -> !source.equals(used))
                .anyMatch(source -> free(source, nowMillis));
    }

    /**
     * How long to wait before the source that {@link #next} gives is asked. Where all of them are
     * left out, a long wait is of no use.
     *
     * @param nowMillis the time
     * @return milliseconds, 0 for at once
     */
    public long waitMillis(long nowMillis) {
        long soonest = sources.stream().mapToLong(this::untilMillis).min().orElse(0);
        return Math.clamp(soonest - nowMillis, 0, LONGEST_WAIT_MILLIS);
    }

    /**
     * Leaves a source out after a failure. After a stall it is left out for long, since finding out that it stalls still
     * costs as much as the wait for a chunk.
     *
     * @param source the source
     * @param stalled whether it went silent, and did not say that it cannot serve
     * @param nowMillis the time
     */
    public void failed(Source source, boolean stalled, long nowMillis) {
        int failures = Optional.ofNullable(penalties.get(source))
                .map(Penalty::failures)
                .orElse(0);
        long first = stalled ? FIRST_STALL_PENALTY_MILLIS : FIRST_PENALTY_MILLIS;
        long penalty = Math.min(LONGEST_PENALTY_MILLIS, first << Math.min(failures, 10));
        penalties.put(source, new Penalty(nowMillis + penalty, failures + 1, stalled));
    }

    /**
     * Forgets the failures of a source that has delivered.
     *
     * @param source the source
     */
    public void delivered(Source source) {
        penalties.remove(source);
    }
}
