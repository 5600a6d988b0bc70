package org.micabarrow.weights;

/**
 * Schedules the orders of a region's agents, so that their endpoints do not all stop accepting requests at the same
 * time. While an endpoint switches versions it finishes running requests and accepts no new ones.
 */
public final class OrderSchedule {

    /**
     * The fraction of the staleness limit before which no order is given: until then chunks are still being fetched.
     */
    private static final double FIRST_FRACTION = 0.45;

    /**
     * The fraction of the staleness limit by which the last order is given. From the cordon before the order on, the
     * endpoint starts no request, so running requests may finish after the limit.
     */
    private static final double LAST_FRACTION = 0.93;

    private OrderSchedule() {}

    /**
     * The time at which an agent gives its order.
     *
     * @param namedMillis when the oldest version that the endpoint lacks was named
     * @param maxStalenessMillis how long older versions may be served after a newer one was named
     * @param position the agent's position among those of its region, from 0
     * @param count the number of agents in the region
     * @return the time on the clock of {@code namedMillis}
     */
    public static long orderMillis(long namedMillis, long maxStalenessMillis, int position, int count) {
        double fraction = count <= 1 ? 0 : (double) position / (count - 1);
        return namedMillis
                + Math.round(maxStalenessMillis * (FIRST_FRACTION + (LAST_FRACTION - FIRST_FRACTION) * fraction));
    }
}
