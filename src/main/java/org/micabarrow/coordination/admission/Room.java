package org.micabarrow.coordination.admission;

/** How an instance's room is divided between short and long requests. */
public final class Room {

    /**
     * One place in how many only short requests may take. At nine tenths of the load short requests then take 1.8
     * times what they take at three tenths (docs/CAPACITY.md); other parts were not measured.
     */
    private static final int RESERVED_ONE_IN = 5;

    private Room() {}

    /**
     * The places that only short requests may take.
     *
     * @param limit the places in all
     * @return a fifth of them, none where there is only one
     */
    public static int reservedForShort(int limit) {
        return limit <= 1 ? 0 : Math.max(1, limit / RESERVED_ONE_IN);
    }
}
