package org.micabarrow.weights;

/**
 * When each agent of a region gives its order, so that its endpoints do not all stop taking requests at once. While an
 * endpoint changes versions it finishes what runs and takes nothing new.
 */
public final class OrderTimes {

    /** The part of the bound before which no order is given: until then chunks are still on their way. */
    private static final double FIRST_PART = 0.45;

    /**
     * The part of the bound by which the last order is given. The endpoint begins nothing from the cordon before the order
     * on, so what it still has to finish may go beyond the bound.
     */
    private static final double LAST_PART = 0.93;

    private OrderTimes() {}

    /**
     * When an agent gives its order.
     *
     * @param namedMillis when the oldest version that the endpoint still lacks was named
     * @param boundMillis how long after that older versions may answer
     * @param position the agent's place among those of its region, from 0
     * @param count how many agents the region has
     * @return the time on the clock of {@code namedMillis}
     */
    public static long at(long namedMillis, long boundMillis, int position, int count) {
        double share = count <= 1 ? 0 : (double) position / (count - 1);
        return namedMillis + Math.round(boundMillis * (FIRST_PART + (LAST_PART - FIRST_PART) * share));
    }
}
