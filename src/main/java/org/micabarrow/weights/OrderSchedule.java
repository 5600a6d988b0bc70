package org.micabarrow.weights;

/**
 * Schedules the orders of a region's agents, so that their endpoints do not all stop accepting requests at the same
 * time. While an endpoint switches versions it finishes running requests and accepts no new ones.
 */
public final class OrderSchedule {

    private OrderSchedule() {}

    /**
     * The time at which an agent gives its order.
     *
     * @param namedMillis when the oldest version that the endpoint lacks was named
     * @param moments when older versions end; the first and the last order are among these moments
     * @param position the agent's position among those of its region, from 0
     * @param count the number of agents in the region
     * @return the time on the clock of {@code namedMillis}
     */
    public static long orderMillis(long namedMillis, VersionMoments moments, int position, int count) {
        double fraction = count <= 1 ? 0 : (double) position / (count - 1);
        long spanMillis = moments.lastOrderMillis() - moments.firstOrderMillis();
        return namedMillis + moments.firstOrderMillis() + Math.round(spanMillis * fraction);
    }
}
