package org.micabarrow.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.random.RandomGenerator;

/**
 * Deals the free places of an endpoint out to the entries that ask about it, in proportion to the requests that each of them
 * turned away lately. If every entry took a place that it reads of, as many requests as there are entries would be sent for it,
 * and all but one would wait inside the endpoint. Used by one thread.
 */
public final class SlotAllotment {

    /** How long an entry counts that has not asked again, in milliseconds: the longest pause between its questions, and more. */
    private static final long COUNTED_MILLIS = 1_000;

    /** The weight of an entry that turned nothing away: it may get a burst before it asks again. */
    private static final int LEAST_WEIGHT = 1;

    /**
     * The part of an endpoint's slots that is dealt out at once. An endpoint that takes requests again after it has changed
     * versions is empty, and the prompts of sixteen requests that come together keep each other waiting. A
     * smaller part leaves places empty.
     */
    private static final double DEALT_AT_ONCE = 0.375;

    private final Map<String, Asker> askers = new HashMap<>();
    private final RandomGenerator random;

    /**
     * An entry that asked.
     *
     * @param weight its weight among those that ask
     * @param owed the part of a place that it has not been given yet
     * @param atMillis when it asked last
     */
    private record Asker(int weight, double owed, long atMillis) {}

    /**
     * Makes shares of which nothing is dealt.
     *
     * @param random decides which entry is first to get a single place
     */
    public SlotAllotment(RandomGenerator random) {
        this.random = Objects.requireNonNull(random, "random is null");
    }

    /**
     * How many places of an endpoint may be dealt out now.
     *
     * @param slots how many requests the endpoint runs at once
     * @param requests the requests at the endpoint, those in its queue too
     * @return the free places, no more than it can take up together
     */
    public static int dealable(int slots, int requests) {
        int atOnce = (int) Math.ceil(slots * DEALT_AT_ONCE);
        return Math.clamp((long) slots - requests, 0, atOnce);
    }

    /**
     * Gives an entry its part of the free places. Parts of a place are kept until they make a whole one.
     *
     * @param entry the entry's name
     * @param unmet the requests that it turned away lately for want of room
     * @param free the places that are free
     * @param nowMillis the time on the steady clock
     * @return how many it may take until it asks again
     */
    public int deal(String entry, int unmet, int free, long nowMillis) {
        askers.values().removeIf(one -> nowMillis - one.atMillis() > COUNTED_MILLIS);
        int weight = unmet + LEAST_WEIGHT;
        Asker asker = askers.remove(entry);
        double before = asker == null ? random.nextDouble() : asker.owed();
        long all = weight;
        for (Asker other : askers.values()) {
            all += other.weight();
        }
        double owed = before + (double) Math.max(0, free) * weight / all;
        int places = (int) owed;
        askers.put(entry, new Asker(weight, owed - places, nowMillis));
        return places;
    }
}
