package org.micabarrow.routing;

import java.util.OptionalDouble;
import java.util.OptionalLong;

/**
 * What a model endpoint reports about its progress, as its agent read it last.
 *
 * @param running the number of requests that it runs
 * @param queued the number of requests that wait in it
 * @param pace its slowness, as a factor on the durations of its model profile: 1 is the usual speed, 2 takes twice as
 *     long; empty if not reported
 * @param kvUsed the key-value memory that running requests hold, in tokens times layers; empty if not reported
 * @param kvTotal all of its key-value memory, in the same unit; empty if not reported
 */
public record EndpointCondition(
        int running, int queued, OptionalDouble pace, OptionalLong kvUsed, OptionalLong kvTotal) {

    /** The slowest accepted pace: an endpoint that is slower is as good as unresponsive. */
    public static final double MAX_PACE = 100;

    /** Fraction of the memory that running requests are left to grow into. */
    private static final double MEMORY_RESERVE_FRACTION = 0.05;

    /**
     * Creates a condition. A pace that is no positive number is taken as not reported, a slower one than
     * {@link #MAX_PACE} as that; negative numbers are taken as 0.
     */
    public EndpointCondition {
        running = Math.max(0, running);
        queued = Math.max(0, queued);
        pace = pace.isPresent() && pace.getAsDouble() > 0
                ? OptionalDouble.of(Math.min(pace.getAsDouble(), MAX_PACE))
                : OptionalDouble.empty();
        kvUsed = kvUsed.isPresent() ? OptionalLong.of(Math.max(0, kvUsed.getAsLong())) : kvUsed;
        kvTotal = kvTotal.isPresent() && kvTotal.getAsLong() > 0 ? kvTotal : OptionalLong.empty();
    }

    /**
     * Returns the memory in use as a fraction of all of it.
     *
     * @return the fraction; empty if it is not reported, or in numbers that cannot be
     */
    public OptionalDouble memoryFraction() {
        return kvUsed.isPresent() && kvTotal.isPresent() && kvUsed.getAsLong() <= kvTotal.getAsLong()
                ? OptionalDouble.of((double) kvUsed.getAsLong() / kvTotal.getAsLong())
                : OptionalDouble.empty();
    }

    /**
     * Returns how many more requests of the running ones' mean size the memory holds. An endpoint whose memory runs out
     * drops its newest request and reads it again later.
     *
     * @return the number, those that wait in the endpoint deducted; the greatest number if nothing is known
     */
    public int requestsThatFit() {
        OptionalDouble used = memoryFraction();
        if (running == 0 || used.isEmpty() || used.getAsDouble() == 0) {
            return Integer.MAX_VALUE;
        }
        double more = running * (1 - MEMORY_RESERVE_FRACTION - used.getAsDouble()) / used.getAsDouble() - queued;
        return (int) Math.clamp(more, 0, Integer.MAX_VALUE);
    }
}
