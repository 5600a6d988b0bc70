package org.micabarrow.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.random.RandomGenerator;

/**
 * Allots the free slots of an endpoint to the entries that query its agent, in proportion to the requests that each of
 * them recently refused. If every entry used each free slot that it sees reported, as many requests as there are
 * entries would be sent for one slot, and all but one would wait inside the endpoint. Not thread-safe: confined to one
 * thread.
 */
public final class SlotAllotment {

    /**
     * Time after its last query for which an entry is counted, in milliseconds: somewhat more than the longest interval
     * between queries.
     */
    private static final long QUERY_EXPIRY_MILLIS = 1_000;

    /** Weight of an entry that refused nothing: it may get a burst before its next query. */
    private static final int MIN_WEIGHT = 1;

    /**
     * The largest fraction of an endpoint's slots that is allotted at once. An endpoint that accepts requests again
     * after loading a version is empty, and the prompts of sixteen requests that arrive together delay each other. A
     * smaller fraction leaves slots unused.
     */
    private static final double MAX_ALLOTTED_FRACTION = 0.375;

    private final Map<String, QueryingEntry> queryingEntries = new HashMap<>();
    private final RandomGenerator random;

    /**
     * What is known about an entry that queries the agent.
     *
     * @param weight its weight among the entries
     * @param carry the fraction of a slot that it has not been given yet
     * @param queriedAtMillis the time of its last query
     */
    private record QueryingEntry(int weight, double carry, long queriedAtMillis) {}

    /**
     * Creates an allotment without entries.
     *
     * @param random staggers the allotment of single slots among entries
     */
    public SlotAllotment(RandomGenerator random) {
        this.random = Objects.requireNonNull(random, "random is null");
    }

    /**
     * Returns the number of an endpoint's slots that may be allotted now.
     *
     * @param slots the number of requests that the endpoint runs concurrently
     * @param requests the number of requests at the endpoint, its queue included
     * @return the free slots, limited to the number that may be allotted at once
     */
    public static int allottable(int slots, int requests) {
        int maxAllotted = (int) Math.ceil(slots * MAX_ALLOTTED_FRACTION);
        return Math.clamp((long) slots - requests, 0, maxAllotted);
    }

    /**
     * Allots an entry its fraction of the free slots. Fractions of a slot are carried over until they add up to a whole
     * one.
     *
     * @param entry the entry's name
     * @param unmet the number of requests that it recently refused for lack of capacity
     * @param freeSlots the number of free slots
     * @param nowMillis the time on the monotonic clock
     * @return the number of slots that it may use until its next query
     */
    public int allot(String entry, int unmet, int freeSlots, long nowMillis) {
        queryingEntries.values().removeIf(other -> nowMillis - other.queriedAtMillis() > QUERY_EXPIRY_MILLIS);
        int weight = unmet + MIN_WEIGHT;
        QueryingEntry known = queryingEntries.remove(entry);
        double carried = known == null ? random.nextDouble() : known.carry();
        long totalWeight = weight;
        for (QueryingEntry other : queryingEntries.values()) {
            totalWeight += other.weight();
        }
        double due = carried + (double) Math.max(0, freeSlots) * weight / totalWeight;
        int slots = (int) due;
        queryingEntries.put(entry, new QueryingEntry(weight, due - slots, nowMillis));
        return slots;
    }
}
