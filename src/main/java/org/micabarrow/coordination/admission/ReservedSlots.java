package org.micabarrow.coordination.admission;

/** The slots of an instance that are reserved for short requests. */
public final class ReservedSlots {

    /**
     * One out of this number of slots is reserved for short requests. With it, short requests at 90 % load take 1.8 times as
     * long as at 30 % load (docs/CAPACITY.md).
     */
    private static final int RESERVED_RATIO = 5;

    private ReservedSlots() {}

    /**
     * The number of slots that only short requests may use.
     *
     * @param limit the total number of slots
     * @return a fifth of them, at least one; none if there is only one slot
     */
    public static int forShortRequests(int limit) {
        return limit <= 1 ? 0 : Math.max(1, limit / RESERVED_RATIO);
    }
}
